package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, lastID.Add(1)) }

// request returns the bytes of a request.
func request(id, method, path, apiKey string, key, deadlineMS int, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nShard-Key: %d\r\n", method, path, id, deadlineMS, key)
	if apiKey != "" {
		s += "Api-Key: " + apiKey + "\r\n"
	}
	if method == "POST" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	id     string
	body   []byte
	err    error
}

func readAnswer(br *bufio.Reader) answer {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), id: resp.Header.Get("Request-Id"), body: body, err: err}
}

// once sends a request on a new connection and reads the answer.
func (r *rig) once(front, id, raw string, wait time.Duration) answer {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(wait))
	r.note("sent", front, "%s", id)
	r.mu.Lock()
	r.sentAt[id] = time.Now()
	r.mu.Unlock()
	if _, err := io.WriteString(nc, raw); err != nil {
		return answer{err: err}
	}
	a := readAnswer(bufio.NewReader(nc))
	if a.err != nil {
		r.note("answered", front, "%s: %v", id, a.err)
	} else {
		r.note("answered", front, "%s: %d seal %q %d bytes", id, a.status, a.seal, len(a.body))
	}
	return a
}

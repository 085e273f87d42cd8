package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
)

// rawServer serves HTTP/1.1 with a handler, one request at a time on a connection. A share
// of its answers is followed by a second copy, which comes at the point where the answer to
// the next request on the connection is expected.
type rawServer struct {
	handler http.Handler
	lis     net.Listener
	// extra is the share of the answers that are sent twice. onExtra, if set, is called
	// when the second copy of the answer to a request is sent after another request came.
	extra   func() float64
	onExtra func(first, next string)
}

// answerBuffer keeps an answer until it is complete.
type answerBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answerBuffer) Header() http.Header         { return a.header }
func (a *answerBuffer) WriteHeader(status int)      { a.status = status }
func (a *answerBuffer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (a *answerBuffer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	a.header.Set("Content-Length", strconv.Itoa(a.body.Len()))
	_ = a.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(a.body.Bytes())
	return b.Bytes()
}

func (s *rawServer) serve() {
	for {
		nc, err := s.lis.Accept()
		if err != nil {
			return
		}
		go s.serveConn(nc)
	}
}

func (s *rawServer) serveConn(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var copied []byte
	var first string
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		name := req.URL.Path + " " + string(body)
		if copied != nil {
			if s.onExtra != nil {
				s.onExtra(first, name)
			}
			if _, err := nc.Write(copied); err != nil {
				return
			}
			copied = nil
		}
		a := &answerBuffer{header: make(http.Header), status: 200}
		s.handler.ServeHTTP(a, req)
		data := a.bytes()
		if _, err := nc.Write(data); err != nil {
			return
		}
		if s.extra != nil && rand.Float64() < s.extra() {
			copied, first = data, name
		}
	}
}

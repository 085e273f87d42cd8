package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

const ramMB = 284

// uploader is one of the many callers.
type uploader struct {
	r    *rig
	k    int
	addr func() string
}

// upload connects, sends one whole request at the given time and returns its status: 0 if there
// is no answer, -1 if there is no connection.
func (u *uploader) upload(id string, body []byte, at time.Time) int {
	c, err := net.DialTimeout("tcp", u.addr(), time.Second)
	if err != nil {
		return -1
	}
	defer func() { _ = c.Close() }()
	time.Sleep(time.Until(at))
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := "POST /pictures/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\nShard-Key: " +
		strconv.Itoa(u.k*19%65536) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := io.WriteString(c, head); err == nil {
			_, _ = c.Write(body)
		}
	}()
	status := 0
	if resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost}); err == nil {
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	_ = c.Close()
	<-sent
	return status
}

// memoryUse is what counts toward ramMb.
type memoryUse struct {
	own, unread int64
	sockets     int
}

func (m memoryUse) sum() int64 { return m.own + m.unread }

func (m memoryUse) String() string {
	return fmt.Sprintf("%d MiB: %d MiB of the process without its program file, %d MiB received and not read on %d open connections",
		m.sum()>>20, m.own>>20, m.unread>>20, m.sockets)
}

// memoryUse returns the resident memory of the process, without pages of files, and the bytes
// that its open callers' connections have received and that it has not read.
func (p *process) memoryUse() (m memoryUse) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(f[1], 10, 64)
			m.own = kib << 10
		}
	}
	_, port, _ := strings.Cut(p.front, ":")
	n, _ := strconv.Atoi(port)
	local := fmt.Appendf(nil, "0100007F:%04X", n)
	sockets, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return m
	}
	for line := range bytes.Lines(sockets) {
		f := bytes.Fields(line)
		// f: number, local address, remote address, state, tx_queue:rx_queue, timer, retransmits,
		// user, time-out, inode. A listener has state 0A; what waits to be accepted or was closed
		// has no inode.
		if len(f) < 10 || !bytes.Equal(f[1], local) || string(f[3]) == "0A" || string(f[9]) == "0" {
			continue
		}
		_, queue, _ := bytes.Cut(f[4], []byte(":"))
		unread, _ := strconv.ParseInt(string(queue), 16, 64)
		m.unread += unread
		m.sockets++
	}
	return m
}

// memory: many callers upload at once at one machine after the other. Is a process killed for
// its memory?
func memory(r *rig, trouble bool) int {
	const (
		callers = 3500
		// Each wave of callers connects within connecting, and sends sendAfter its begin.
		wave, connecting, sendAfter = 3 * time.Second, 800 * time.Millisecond, 1200 * time.Millisecond
		clients                     = 20
		gap                         = 200 * time.Millisecond
		sample                      = 20 * time.Millisecond
		// restartAfter is how long the platform takes to start a process again.
		restartAfter = 500 * time.Millisecond
		ends         = 3
		forEach      = 42 * time.Second
	)
	route := func(name, prefix string, public bool) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": "unsafe", "timeoutS": 2.5, "sloS": 0.4, "priority": 1, "service": "order-desk", "attempts": 2, "public": public}
	}
	r.store.Put("config", "main", map[string]any{
		"version": 3, "routes": []any{route("robe-order", "/orders/", false), route("picture", "/pictures/", true)},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConns": 120, "sharded": true}},
		"tenants":  []any{map[string]any{"name": "resort", "apiKeys": []string{"key-resort"}, "ratePerS": 500, "burst": 500}},
		"limits":   map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 10},
	})
	for i := range 28 {
		s := &site.Server{
			ID: fmt.Sprintf("i-%d", i+1), Service: "order-desk", DataCentre: "z" + strconv.Itoa(i%2), StartedAtMs: time.Now().UnixMilli(),
			ServiceTime: 120 * time.Millisecond, MaxRunning: 6, Keyed: true,
			OnRun: func(run site.Run) { r.rec.add("began %s at %s", run.Request, run.Server) },
		}
		if err := s.Start(); err != nil {
			fail("backend: %v", err)
		}
		r.store.Put("servers", s.ID, s.StoreEntry())
	}
	r.addNode("z0")
	r.addNode("z1")
	r.awaitReady()
	time.Sleep(3 * time.Second)

	var over atomic.Bool
	var target atomic.Pointer[process]
	var mu sync.Mutex
	var wg sync.WaitGroup
	crowd, ordinary := map[int]int{}, map[int]int{}
	count := func(m map[int]int, status int) {
		mu.Lock()
		defer mu.Unlock()
		m[status]++
	}
	for k := range clients {
		wg.Go(func() {
			for n := 0; !over.Load(); n++ {
				id := fmt.Sprintf("o%02d-%05d", k, n)
				c, err := net.DialTimeout("tcp", r.nodes[k%2].front, time.Second)
				if err != nil {
					count(ordinary, -1)
					time.Sleep(gap)
					continue
				}
				_, _ = io.WriteString(c, "POST /orders/"+id+" HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 2500\r\nApi-Key: key-resort\r\nShard-Key: "+
					strconv.Itoa((k*997+n*101)%65536)+"\r\nContent-Length: 300\r\n\r\n"+strings.Repeat("x", 300))
				status := receive(c, http.MethodPost, 3*time.Second)
				_ = c.Close()
				count(ordinary, status)
				r.rec.add("order %s at %s: %d", id, r.nodes[k%2].name, status)
				time.Sleep(gap)
			}
		})
	}
	time.Sleep(2 * time.Second)
	// SIZE=1000 shows that the number of callers alone breaks nothing.
	size, err := strconv.Atoi(os.Getenv("SIZE"))
	if err != nil {
		size = 200_000
	}
	body := make([]byte, size)
	if trouble {
		for k := range callers {
			u := &uploader{r, k, func() string { return target.Load().front }}
			wg.Go(func() {
				for n := 0; !over.Load(); n++ {
					begin := time.Now().Truncate(wave).Add(wave)
					time.Sleep(time.Until(begin.Add(connecting * time.Duration(k) / callers)))
					if target.Load() != nil && !over.Load() {
						id := fmt.Sprintf("u%04d-%04d", k, n)
						status := u.upload(id, body, begin.Add(sendAfter))
						count(crowd, status)
						r.rec.add("upload %s: %d", id, status)
					}
				}
			})
		}
	}
	killed := make([]int, len(r.nodes))
	for i, p := range r.nodes {
		if !trouble {
			break
		}
		r.rec.add("%d callers begin at %s", callers, p.name)
		target.Store(p)
		for end := time.Now().Add(forEach); killed[i] < ends && time.Now().Before(end); time.Sleep(sample) {
			m := p.memoryUse()
			r.rec.add("%s: %v", p.name, m)
			if m.sum() <= ramMB<<20 {
				continue
			}
			killed[i]++
			r.rec.verdict("%s exceeds %d MiB and is killed: %v", p.name, ramMB, m)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
			if killed[i] == ends {
				target.Store(nil)
			}
			time.Sleep(restartAfter)
			p.start()
			p.awaitReady(5 * time.Second)
		}
		target.Store(nil)
	}
	if !trouble {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(sample) {
			for i, p := range r.nodes {
				m := p.memoryUse()
				r.rec.add("%s: %v", p.name, m)
				if m.sum() > ramMB<<20 {
					killed[i]++
				}
			}
		}
	}
	over.Store(true)
	wg.Wait()
	r.rec.verdict("uploads by status (0: no answer, -1: no connection): %v; orders of ordinary clients: %v", crowd, ordinary)
	r.rec.verdict("processes killed for their memory: %v", killed)
	switch {
	case min(killed[0], killed[1]) >= ends:
		r.rec.verdict("Fault broken: on both machines processes ended by themselves three times")
		return broken
	case killed[0]+killed[1] > 0:
		r.rec.verdict("Fault held, less than three ends on a machine; a machine's memory was exceeded all the same")
	default:
		r.rec.verdict("Fault held")
	}
	return held
}

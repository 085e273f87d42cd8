package main

import (
	"io"
	"net"
	"sync"
)

// proxy is a TCP link that can be cut: open connections are reset, and new ones too.
type proxy struct {
	target string
	lis    net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func newProxy(target string) *proxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("proxy: %v", err)
	}
	p := &proxy{target: target, lis: lis, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p
}

func (p *proxy) addr() string { return p.lis.Addr().String() }

func (p *proxy) serve() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.link(c)
	}
}

// add records a connection, or resets it during a cut.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) link(c net.Conn) {
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.add(d) {
		return
	}
	defer p.remove(d)
	done := make(chan struct{}, 2)
	for _, ends := range [][2]net.Conn{{c, d}, {d, c}} {
		go func() {
			_, _ = io.Copy(ends[0], ends[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// cut begins or ends a cut.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = on
	if !on {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

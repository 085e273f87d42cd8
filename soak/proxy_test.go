package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats its connections.
type mode int32

const (
	forwardAll mode = iota
	// delayBlocks delays each block by blockDelay.
	delayBlocks
	// dropAll discards all bytes in both directions and keeps connections open.
	dropAll
	// dropResponses discards the bytes of responses only.
	dropResponses
	// resetConns resets open and new connections.
	resetConns
)

// blockDelay applies to each block that the proxy reads.
const blockDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a target address and injects network faults.
type proxy struct {
	lis    net.Listener
	target string
	mode   atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.lis.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	if mode(p.mode.Load()) == resetConns {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.track(in, out)
	go p.copy(out, in, false)
	p.copy(in, out, true)
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch m := mode(p.mode.Load()); {
		case m == dropAll, m == dropResponses && responses:
			n = 0
		case m == delayBlocks:
			time.Sleep(blockDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// setMode changes the mode for open and new connections. resetConns resets open
// connections at once.
func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
	if m != resetConns {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (p *proxy) close() {
	_ = p.lis.Close()
	p.setMode(resetConns)
}

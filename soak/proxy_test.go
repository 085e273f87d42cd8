package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to its connections.
type mode int32

const (
	forwardAll mode = iota
	// delayBlocks delays each block.
	delayBlocks
	// dropAll swallows all bytes and keeps connections open.
	dropAll
	// dropResponses swallows the bytes of answers only.
	dropResponses
	// resetConns resets connections.
	resetConns
)

// blockDelay is the delay of a block.
const blockDelay = 60 * time.Millisecond

// proxy passes connections on to an address, and harms them.
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

// setMode changes the mode; resetConns also resets open connections.
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

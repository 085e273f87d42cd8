// Package cutlink provides a link to a server that tests can cut and heal. It does not
// model delays or lost bytes.
package cutlink

import (
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Link forwards connections to a server. While it is cut, it holds back the bytes that a
// client sends. Once it has healed and the client has closed its connection, it delivers
// them, unless the client has reset the connection.
type Link struct {
	lis    net.Listener
	server string
	held   chan struct{}

	mu sync.Mutex
	// healed is closed when the cut ends, and nil while there is none.
	healed      chan struct{}
	connections sync.WaitGroup
}

// maxHeld bounds the connections on which bytes are held back.
const maxHeld = 64

// New returns a link to the server at the given address.
func New(server string) (*Link, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{lis: lis, server: server, held: make(chan struct{}, maxHeld)}
	go l.accept()
	return l, nil
}

// Addr returns the address at which clients reach the server through the link.
func (l *Link) Addr() string { return l.lis.Addr().String() }

// Close stops accepting connections.
func (l *Link) Close() error { return l.lis.Close() }

// Cut begins a cut. Connections can still be opened.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

// Held receives a value for each connection on which bytes are held back.
func (l *Link) Held() <-chan struct{} { return l.held }

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
	l.healed = nil
}

// Wait returns when the clients have closed their connections and the server has closed
// its side of them.
func (l *Link) Wait() { l.connections.Wait() }

func (l *Link) accept() {
	for {
		client, err := l.lis.Accept()
		if err != nil {
			return
		}
		l.connections.Go(func() { l.forward(client) })
	}
}

func (l *Link) cutEnd() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *Link) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(client, server) }()
	buf := make([]byte, 64<<10)
	for {
		n, err := client.Read(buf)
		received := buf[:n]
		if healed := l.cutEnd(); n > 0 && healed != nil {
			l.held <- struct{}{}
			<-healed
			rest, restErr := io.ReadAll(client)
			if errors.Is(restErr, unix.ECONNRESET) {
				return
			}
			received, err = append(received, rest...), io.EOF
		}
		if len(received) > 0 {
			_, _ = server.Write(received)
		}
		if err != nil {
			_ = server.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, server)
			return
		}
	}
}

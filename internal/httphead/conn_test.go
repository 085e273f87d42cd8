package httphead

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a read that waits for more bytes after a malformed head: readers with a
// buffer return an error once and then read again.
func TestReadsFailAfterAMalformedHead(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _ = here.Close(); _ = there.Close() }()
	go func() { _, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\n X: a\r\n") }()
	c := NewConn(here)
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	require.Error(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n", string(buf[:n]))
	n, again := c.Read(buf)
	require.Equal(t, err, again)
	require.Zero(t, n)
	c.ExpectResponse()
	_, again = c.Read(buf)
	require.Equal(t, err, again)
}

// Guards against taking the body for a head, and the next head for the body.
func TestEachResponseOfAConnectionIsChecked(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _ = here.Close(); _ = there.Close() }()
	c := NewConn(here)
	receive := func(text string) error {
		go func() { _, _ = io.WriteString(there, text) }()
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	require.NoError(t, receive("HTTP/1.1 200 OK\r\n\r\n A B\r\n"))
	require.NoError(t, receive(" C\x00"))
	c.ExpectResponse()
	require.NoError(t, receive("HTTP/1.1 200 OK\r\nX: "))
	require.NoError(t, receive("a\r\n\r\n C"))
	c.ExpectResponse()
	require.Error(t, receive("HTTP/1.1 200 OK\r\nX : a\r\n\r\n"))
}

package store

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response that counts although the head of it is malformed: a name that
// holds a blank or a control byte, or lines that end in different ways. The connection is
// new, or has carried an earlier call.
func TestMalformedResponseIsAnError(t *testing.T) {
	const versions = "Object-Version: 1\r\nStore-Revision: 1\r\n"
	for _, field := range []string{
		"Content-Length : 2", " Content-Length: 2", "X Y: a", "X : a", " X: a", "\tX: a", "X\x01: a", "\nContent-Length: 2", "X: a\nY: b", "X",
	} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for {
				nc, err := lis.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = nc.Close() }()
					br := bufio.NewReader(nc)
					for fields := ""; ; fields = field + "\r\n" {
						r, err := http.ReadRequest(br)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+versions+fields+"Content-Length: 2\r\n\r\n{}")
					}
				}()
			}
		}()
		c := NewClient("http://"+lis.Addr().String(), nil)
		object, err := c.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, "{}", string(object.Value))
		_, err = c.Put(t.Context(), "a", []byte("{}"), 1, "w")
		require.ErrorIs(t, err, ErrUnavailable, "field %q", field)
		require.NoError(t, lis.Close())
	}
}

package peer

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"

	"godwitlock.example/godwitlock/internal/pipe"
)

// endlessHeaders returns the start of an HTTP/2 connection whose first header
// list does not end, and a frame that continues the list.
func endlessHeaders(t *testing.T) (start, more []byte) {
	t.Helper()
	var buf, block bytes.Buffer
	buf.WriteString(http2.ClientPreface)
	f := http2.NewFramer(&buf, nil)
	require.NoError(t, f.WriteSettings())
	enc := hpack.NewEncoder(&block)
	require.NoError(t, enc.WriteField(hpack.HeaderField{Name: ":method", Value: "POST"}))
	require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes()}))
	start = bytes.Clone(buf.Bytes())
	buf.Reset()
	block.Reset()
	require.NoError(t, enc.WriteField(hpack.HeaderField{Name: "x", Value: strings.Repeat("x", 8<<10), Sensitive: true}))
	require.NoError(t, f.WriteContinuation(1, false, block.Bytes()))
	return start, buf.Bytes()
}

// Guards against a call of another VM whose header list never ends and fills the
// memory.
func TestEndlessHeaderListIsCutOff(t *testing.T) {
	lis := pipe.Listen()
	g := grpc.NewServer(ServerOptions()...)
	go func() { _ = g.Serve(lis) }()
	defer g.Stop()
	nc, err := lis.Dial(t.Context(), "", "")
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	start, more := endlessHeaders(t)
	require.LessOrEqual(t, writeUntilClosed(nc, start, more, 64<<20), 4*maxHeaderListBytes)
}

// writeUntilClosed writes start, and then more again and again until the
// connection is closed. It gives up after limit bytes and returns the number of
// bytes written.
func writeUntilClosed(nc net.Conn, start, more []byte, limit int) int {
	total, err := nc.Write(start)
	for err == nil && total < limit {
		var n int
		n, err = nc.Write(more)
		total += n
	}
	return total
}

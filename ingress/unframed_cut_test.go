package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessStream is a body without end.
type endlessStream struct{}

func (endlessStream) Read(p []byte) (int, error) { return len(p), nil }

func (endlessStream) Close() error { return nil }

// Guards against the start of an answer without a length that its caller, who reads slowly,
// takes for the whole: the rest could not be written within its time.
func TestCloseDelimitedBodyIsResetForASlowReader(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	s := NewServer(testHeaders, func(context.Context, *Request) *Response {
		return unframedResponse(endlessStream{}, "")
	}, func() Limits { return Limits{} })
	dropped := make(chan DroppedAnswer, 1)
	s.OnAnswerDropped = func(d DroppedAnswer) { dropped <- d }
	go func() { _ = s.Serve(lis) }()
	nc, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, WriteTimeout, (<-dropped).Cause)
	_, err = io.Copy(io.Discard, nc)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// serveEnv makes the test binary serve endless answers and print its address.
const serveEnv = "INGRESS_TEST_SERVE"

func serveEndlessAnswers(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fmt.Println(lis.Addr())
	s := NewServer(testHeaders, func(context.Context, *Request) *Response {
		return unframedResponse(endlessStream{}, "")
	}, func() Limits { return Limits{} })
	_ = s.Serve(lis)
}

// Guards against the start of an answer without a length that its caller takes for the
// whole, since the kernel closes the connections of a process that ends.
func TestCloseDelimitedBodyIsResetByTheEndOfTheProcess(t *testing.T) {
	if os.Getenv(serveEnv) != "" {
		serveEndlessAnswers(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), serveEnv+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	addr, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	nc, err := net.Dial("tcp", strings.TrimSpace(addr))
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err = io.CopyN(io.Discard, nc, 1<<20)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Kill())
	_, err = io.Copy(io.Discard, nc)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

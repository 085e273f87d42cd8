package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/standin/memnet"
)

const drainTimeout, headTimeout = 2 * time.Second, 5 * time.Second

// stopTest is a gateway in a synctest bubble with a connection to it. Each request
// takes a value from proceed before it is answered.
type stopTest struct {
	net.Conn
	br       *bufio.Reader
	gateway  *gateway.Gateway
	proceed  chan struct{}
	requests chan string
	// stopped is closed when Shutdown has returned err.
	stopped chan struct{}
	err     error
}

func newStopTest(t *testing.T) *stopTest {
	t.Helper()
	return newStopTestOn(t, func(l net.Listener) net.Listener { return l })
}

// newStopTestOn is newStopTest with a listener that wrap returns.
func newStopTestOn(t *testing.T, wrap func(net.Listener) net.Listener) *stopTest {
	t.Helper()
	s := &stopTest{proceed: make(chan struct{}, 10), requests: make(chan string, 10), stopped: make(chan struct{})}
	doer := call.DoerFunc(func(ctx context.Context, r *call.Request) (*call.Response, error) {
		s.requests <- r.Target
		select {
		case <-s.proceed:
		case <-ctx.Done():
		}
		return &call.Response{Status: 200, ContentLength: int64(len(r.Target)), Body: io.NopCloser(strings.NewReader(r.Target))}, nil
	})
	deps := &fakeDependencies{}
	s.gateway = gateway.New(gateway.Config{
		Authenticator: deps, Admitter: deps, Probes: deps, Routes: testRoutes(t), Doer: doer,
		Log: zerolog.New(io.Discard), DrainTimeout: drainTimeout, HeadTimeout: headTimeout,
	})
	network := memnet.New()
	lis, err := network.Host("g").Listen("tcp", "g:1")
	require.NoError(t, err)
	go func() { _ = s.gateway.Serve(wrap(lis)) }()
	s.Conn, err = network.Host("c").Dial(t.Context(), "tcp", "g:1")
	require.NoError(t, err)
	s.br = bufio.NewReader(s.Conn)
	// The sleep lets all goroutines of the bubble end, also after a failure.
	t.Cleanup(func() { _ = s.Close(); _ = s.gateway.Close(); time.Sleep(time.Hour) })
	return s
}

func (s *stopTest) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s.Conn, text)
	require.NoError(t, err)
	time.Sleep(time.Millisecond)
	synctest.Wait()
}

func (s *stopTest) requireAnswer(t *testing.T, target string, last bool) {
	t.Helper()
	resp, err := http.ReadResponse(s.br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, target, string(body))
	require.Equal(t, last, resp.Close)
}

// shutdown starts Shutdown and waits until it has closed the idle connections.
func (s *stopTest) shutdown() {
	go func() { defer close(s.stopped); s.err = s.gateway.Shutdown(context.Background()) }()
	time.Sleep(drainTimeout + time.Second)
}

func gatewayGet(target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n\r\n"
}

func gatewayPost(target string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nAuthorization: Bearer " + testKey + "\r\n\r\n0123456789"
}

// Guards against a stop that runs a request behind one whose answer closes the
// connection.
func TestShutdownRunsNoRequestBehindTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopTest(t)
		s.send(t, gatewayGet("/images/1")+gatewayGet("/images/2"))
		s.shutdown()
		s.proceed <- struct{}{}
		s.requireAnswer(t, "/images/1", true)
		<-s.stopped
		require.Len(t, s.requests, 1)
	})
}

// Guards against a stop that closes a connection on which a request is being read.
func TestShutdownCompletesRequestBeingRead(t *testing.T) {
	for name, text := range map[string]string{"head": gatewayGet("/images/2"), "body": gatewayPost("/images/2")} {
		for _, reused := range []bool{false, true} {
			t.Run(name+map[bool]string{true: " on a reused connection"}[reused], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStopTest(t)
					if reused {
						s.proceed <- struct{}{}
						s.send(t, gatewayGet("/images/1"))
						s.requireAnswer(t, "/images/1", false)
					}
					s.proceed <- struct{}{}
					cut := len(text) - 5
					s.send(t, text[:cut])
					s.shutdown()
					s.send(t, text[cut:])
					s.requireAnswer(t, "/images/2", true)
					<-s.stopped
				})
			})
		}
	}
}

// Guards against a stop that runs a request which it may have to cut at its end.
func TestShutdownRefusesRequestThatMayOutlastIt(t *testing.T) {
	for timeout, status := range map[string]int{"10000": http.StatusOK, "60000": http.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			s := newStopTest(t)
			text := strings.Replace(gatewayPost("/images/2"), "\r\n", "\r\n"+call.HeaderTimeoutMS+": "+timeout+"\r\n", 1)
			s.send(t, text[:20])
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			go func() { defer close(s.stopped); s.err = s.gateway.Shutdown(ctx) }()
			time.Sleep(drainTimeout + time.Second)
			s.proceed <- struct{}{}
			s.send(t, text[20:])
			resp, err := http.ReadResponse(s.br, nil)
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode)
			require.True(t, resp.Close)
			require.Equal(t, status == http.StatusOK, len(s.requests) == 1, "a refused request does not run")
			if status != http.StatusOK {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			<-s.stopped
			require.NoError(t, s.err)
		})
	}
}

// Guards against a stop that waits for idle connections, or without a bound for the
// rest of a request.
func TestShutdownIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		most time.Duration
	}{
		"new connection":  {"", drainTimeout + time.Second},
		"idle connection": {gatewayGet("/images/1"), drainTimeout + time.Second},
		"partial head":    {gatewayGet("/images/1") + gatewayGet("/images/2")[:20], drainTimeout + headTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopTest(t)
				s.proceed <- struct{}{}
				s.send(t, c.text)
				if c.text != "" {
					s.requireAnswer(t, "/images/1", false)
				}
				synctest.Wait()
				began := time.Now()
				go s.shutdown()
				<-s.stopped
				require.LessOrEqual(t, time.Since(began), c.most)
				_, err := s.br.ReadByte()
				require.Error(t, err)
			})
		})
	}
}

// slowListener returns from Accept a second after it was closed, and cannot be closed
// twice.
type slowListener struct {
	net.Listener
	closed atomic.Bool
}

func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(time.Second)
	}
	return nc, err
}

func (l *slowListener) Close() error {
	if l.closed.Swap(true) {
		return net.ErrClosed
	}
	return l.Listener.Close()
}

// Guards against a Shutdown that fails because it closes its listener twice.
func TestShutdownClosesItsListenerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopTestOn(t, func(l net.Listener) net.Listener { return &slowListener{Listener: l} })
		s.shutdown()
		<-s.stopped
		require.NoError(t, s.err)
	})
}

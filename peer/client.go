package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/topo"
)

// Time limits of reconnection. The longest delay stays below the heartbeat
// interval, so that a restarted VM is reached again well within the VM lease.
const (
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 300 * time.Millisecond
	connectTimeout    = 500 * time.Millisecond
)

const (
	// bufferBytes is the size of a connection's read and write buffers. Messages
	// are small, and each VM has a connection to and from every other VM, whose
	// buffers add up.
	bufferBytes = 4 << 10
	// windowBytes is the flow-control window of a connection and its streams. A
	// fixed window turns off gRPC's bandwidth estimation, which sends a ping with
	// every call.
	windowBytes = 256 << 10
	// maxHeaderListBytes bounds the metadata of a call or a response. The calls
	// carry none of their own; callers' headers are part of the messages.
	maxHeaderListBytes = 64 << 10
	// maxStreams bounds the calls in progress of one connection. Each request that
	// waits for a slot of this VM's servers is one.
	maxStreams = 4000
)

// HandshakeTimeout bounds the time from accepting a connection to the end of its
// handshake. Stopping a gRPC server waits for handshakes.
const HandshakeTimeout = 5 * time.Second

// ServerOptions returns the options of a gRPC server that other VMs call. They
// match those of the connections of a Pool.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.ConnectionTimeout(HandshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
	}
}

// Pool keeps one gRPC connection per VM address. It is safe for concurrent
// use.
type Pool struct {
	creds credentials.TransportCredentials
	dial  DialFunc
	// Traffic counts the bytes of this VM's calls.
	Traffic Traffic
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// DialFunc opens a connection to addr.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewPool returns an empty pool that secures its connections with creds and
// opens them with dial. A nil dial opens TCP connections.
func NewPool(creds credentials.TransportCredentials, dial DialFunc) *Pool {
	return &Pool{creds: creds, dial: dial, conns: make(map[string]*grpc.ClientConn)}
}

// Client returns a client for the VM at addr (host:port). The connection is
// opened by the first call; Client fails only on a malformed address.
func (p *Pool) Client(addr string) (peerpb.PeerClient, error) {
	conn, err := p.Conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// Conn returns the connection to the VM at addr (host:port). It is opened by the
// first call; Conn fails only on a malformed address.
func (p *Pool) Conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[addr]; ok {
		return conn, nil
	}
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(&p.Traffic),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithMaxHeaderListSize(maxHeaderListBytes),
		grpc.WithDisableRetry(),
	}
	if p.dial != nil {
		opts = append(opts, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return p.dial(ctx, "tcp", addr)
		}))
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, opts...)
	if err != nil {
		return nil, errors.Annotatef(err, "create gRPC client for the VM at %s", addr)
	}
	p.conns[addr] = conn
	return conn, nil
}

// Forget closes the connection to the VM at addr and removes it from the pool.
// It does nothing when there is none.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	conn := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections and empties the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, addr)
	}
}

// Doer returns a call.Doer that forwards requests to the VM at addr, the home
// VM of the request's server.
func (p *Pool) Doer(addr string) call.Doer {
	return call.DoerFunc(func(ctx context.Context, req *call.Request) (*call.Response, error) {
		return p.forward(ctx, addr, req)
	})
}

func (p *Pool) forward(ctx context.Context, addr string, req *call.Request) (*call.Response, error) {
	client, err := p.Client(addr)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.ServerUnreachable, "home VM cannot be reached")
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Forward(ctx)
	if err != nil {
		// The stream was not created, so no byte of the request was sent.
		defer cancel()
		return nil, notSentError(ctx, err)
	}
	if err := sendRequest(stream, req, cancel); err != nil {
		defer cancel()
		return nil, streamLostError(ctx, err)
	}
	resp, err := receiveHead(ctx, stream, cancel)
	if err != nil {
		cancel()
		return nil, err
	}
	return resp, nil
}

func notSentError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, errkind.DeadlineBeforeRun)
	}
	return execution.Fail(execution.HomeConnect, errkind.ServerUnreachable, "home VM cannot be reached", err)
}

func streamLostError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, errkind.DeadlineAfterRun)
	}
	return execution.Fail(execution.HomeStream, errkind.OutcomeUnknown, "connection to the home VM was lost", err)
}

// contextError returns an error of kind onDeadline when the deadline of ctx has
// passed, or CallerGone when ctx was cancelled.
func contextError(ctx context.Context, onDeadline errkind.Kind) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(ctx.Err(), onDeadline, "deadline passed")
	}
	return errkind.Wrap(ctx.Err(), errkind.CallerGone, "caller left")
}

type forwardClient = grpc.BidiStreamingClient[peerpb.ForwardUp, peerpb.ForwardDown]

// sendRequest sends the request head, and starts a goroutine that sends the
// body. If reading the body fails, the stream is cancelled, so that the home VM
// never takes a truncated body for a complete one.
func sendRequest(stream forwardClient, req *call.Request, cancel context.CancelFunc) error {
	head := &peerpb.ForwardUp{Frame: &peerpb.ForwardUp_Head{Head: encodeHead(req)}}
	if err := stream.Send(head); err != nil {
		return errors.Trace(err)
	}
	if req.Body == nil {
		return errors.Trace(sendEnd(stream, req))
	}
	go func() {
		if err := sendBody(stream, req); err != nil {
			cancel()
		}
	}()
	return nil
}

func sendBody(stream forwardClient, req *call.Request) error {
	chunks := chunker{remaining: req.ContentLength}
	for {
		buf := chunks.next()
		n, err := req.Body.Read(buf)
		chunks.consumed(n)
		if n > 0 {
			if err := stream.Send(&peerpb.ForwardUp{Frame: &peerpb.ForwardUp_Body{Body: buf[:n]}}); err != nil {
				return errors.Trace(err)
			}
		}
		if err == io.EOF {
			return sendEnd(stream, req)
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

func sendEnd(stream forwardClient, req *call.Request) error {
	end := &peerpb.End{Trailer: encodeHeader(req.Trailer)}
	if err := stream.Send(&peerpb.ForwardUp{Frame: &peerpb.ForwardUp_End{End: end}}); err != nil && err != io.EOF {
		return errors.Trace(err)
	}
	return errors.Trace(stream.CloseSend())
}

func receiveHead(ctx context.Context, stream forwardClient, cancel context.CancelFunc) (*call.Response, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, streamLostError(ctx, err)
	}
	switch f := frame.GetFrame().(type) {
	case *peerpb.ForwardDown_Refusal:
		return nil, decodeRefusal(f.Refusal)
	case *peerpb.ForwardDown_Head:
		resp := newResponse(f.Head, stream, cancel)
		if err := checkResponse(resp); err != nil {
			cancel()
			return nil, execution.Fail(execution.HomeStream, errkind.OutcomeUnknown, "home VM sent an unusable response", err)
		}
		return resp, nil
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "home VM sent an unexpected frame")
}

// checkResponse rejects a response that cannot be passed on to a caller.
func checkResponse(resp *call.Response) error {
	if !call.ValidStatus(resp.Status) {
		return errors.Errorf("status %d", resp.Status)
	}
	return call.CheckHeader(resp.Header)
}

// maxHistoryBytes bounds one History response. It allows for the memory limit of
// one server's history and for the encoding.
const maxHistoryBytes = 32 << 20

// History fetches the encoded idempotency history of slices that server held
// from the VM at addr. It returns false while a request for a key of the slices
// is in progress there.
func (p *Pool) History(ctx context.Context, addr string, server topo.ServerID, slices []topo.SliceID) ([]byte, bool, error) {
	client, err := p.Client(addr)
	if err != nil {
		return nil, false, err
	}
	req := &peerpb.HistoryRequest{Server: string(server)}
	for _, id := range slices {
		req.Slices = append(req.Slices, uint32(id))
	}
	resp, err := client.History(ctx, req, grpc.MaxCallRecvMsgSize(maxHistoryBytes))
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	return resp.GetData(), resp.GetOk(), nil
}

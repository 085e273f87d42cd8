package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/forward"
	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/metric"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/standin/memnet"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/view"
)

const (
	// tenths is the number of times within StopWithin at which requests arrive.
	tenths = 10
	// beforeStop is how long before SIGTERM the callers of a lateTest begin.
	beforeStop = 100 * time.Millisecond
	// longWork is the work of a request that outlasts each stop, longDeadline its
	// deadline and the route's timeout.
	longWork, longDeadline = time.Hour, 10 * time.Second
	shortWork              = 50 * time.Millisecond
)

// lateTest is a node in a synctest bubble that is stopped while callers send
// requests, and a server that works on each request for the time in its URI.
type lateTest struct {
	node  *Node
	net   *memnet.Network
	limit time.Duration
	began time.Time

	mu sync.Mutex
	// handled holds the times at which the node had read the requests, received those
	// at which the server got them, deadlines their deadlines, and answers what the
	// callers got.
	handled, received, deadlines map[string]time.Time
	answers                      map[string]lateAnswer
	callers                      sync.WaitGroup
}

// lateAnswer is what a caller got: a status, or 0 for a connection that ended
// without a complete answer.
type lateAnswer struct {
	status int
	at     time.Duration
}

func newLateTest(t *testing.T, limit time.Duration) *lateTest {
	t.Helper()
	lt := &lateTest{
		net: memnet.New(), limit: limit, began: time.Now().Add(beforeStop),
		handled: map[string]time.Time{}, deadlines: map[string]time.Time{}, received: map[string]time.Time{}, answers: map[string]lateAnswer{},
	}
	b := DefaultBounds()
	b.StopWithin = limit
	p := memPlatform{memstore.New()}
	n := &Node{
		settings: Settings{VM: "a", PeerAddr: "a:3", Bounds: b}, platform: p, view: view.New(), metrics: metric.New(),
		startedAt: clock.Boot(), log: declog.New(io.Discard, "a"),
	}
	n.activeBounds.Store(&b)
	for addr, lis := range map[string]*net.Listener{":1": &n.callerLis, ":2": &n.readyLis, ":3": &n.peerLis, ":4": &n.metricsLis} {
		var err error
		*lis, err = lt.net.Host("a").Listen("tcp", "a"+addr)
		require.NoError(t, err)
	}
	n.assemble()
	cfg := n.forward.Config
	cfg.View, cfg.Slots = lateView(t), lt
	cfg.Budgets = forward.NewBudgets(0.5, func() float64 { return 10 })
	cfg.Egress = egress.New(egress.Headers{
		RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server", NotRun: "Not-Run", Seal: "Seal",
	})
	cfg.Egress.Dial = lt.net.Host("a").Dial
	n.forward = forward.New(cfg)
	n.ingress = ingress.NewServer(ingress.Headers{RequestID: "Request-Id", DeadlineMS: "Deadline-Ms"},
		func(ctx context.Context, r *ingress.Request) *ingress.Response {
			lt.mu.Lock()
			lt.handled[r.ID], lt.deadlines[r.ID] = time.Now(), r.Deadline
			lt.mu.Unlock()
			return n.forward.Serve(ctx, r)
		}, n.callerLimits)
	lt.node = n
	servers, err := lt.net.Host("s").Listen("tcp", "s:1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = servers.Close() })
	go lt.serve(servers)
	return lt
}

// lateView returns a view with one server and, for each kind of request, a route
// whose requests get a slot at once and one for each tenth at which they get it.
func lateView(t *testing.T) *view.View {
	t.Helper()
	var routes []routemap.Route
	for prefix, kind := range map[string]routemap.Kind{"/w": routemap.NonIdempotent, "/r": routemap.Idempotent} {
		for tenth := range tenths + 1 {
			name := prefix + strconv.Itoa(tenth) + "/"
			routes = append(routes, routemap.Route{
				Name: name, Host: "h", PathPrefix: name, Kind: kind, Timeout: longDeadline, Attempts: 1, Public: true, Priority: tenth,
				Destinations: []routemap.Destination{{Service: "s", Weight: 1}},
			})
		}
	}
	m, err := routemap.Compile(routemap.Config{Version: 1, Services: []routemap.Service{{Name: "s"}}, Routes: routes})
	require.NoError(t, err)
	v := view.New()
	v.SetConfig(m, nil, 1)
	v.Directory(func(d *directory.Directory) {
		d.Put(directory.Server{ID: "s1", Service: "s", Addr: "s:1", Slots: 1, State: directory.Ready, Rev: 1})
	})
	return v
}

// Acquire implements forward.Slots. It grants a slot when the tenth of the request's
// route has come.
func (lt *lateTest) Acquire(ctx context.Context, _ *view.Snapshot, _ string, r permit.Request) (forward.Slot, permit.Decision) {
	if r.Priority > 0 {
		pause(ctx, time.Until(lt.at(r.Priority)))
	}
	if ctx.Err() != nil {
		return nil, permit.Decision{Verdict: permit.Refused}
	}
	return grantAll{}, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

// at returns the time of a tenth of StopWithin.
func (lt *lateTest) at(tenth int) time.Time {
	return lt.began.Add(lt.limit * time.Duration(tenth) / tenths)
}

func (lt *lateTest) serve(lis net.Listener) {
	for {
		nc, err := lis.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			br := bufio.NewReader(nc)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				id := r.Header.Get("Request-Id")
				lt.mu.Lock()
				lt.received[id] = time.Now()
				lt.mu.Unlock()
				work, _ := time.ParseDuration(r.URL.Query().Get("work"))
				if _, err := io.Copy(io.Discard, r.Body); err != nil || work == longWork {
					_, _ = br.ReadByte()
					return
				}
				time.Sleep(work)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// lateRequest is a request of a lateTest.
type lateRequest struct {
	stage    string
	kind     string
	tenth    int
	work     time.Duration
	deadline time.Duration
}

func (r lateRequest) id() string {
	return fmt.Sprintf("%s %s %d of %d, work %s, deadline %s", r.kind, r.stage, r.tenth, tenths, r.work, r.deadline)
}

// message returns the request with a body of the given size, on the route whose
// requests get a slot at the given tenth.
func (r lateRequest) message(id string, slotAt, bodyBytes int) (head, body string) {
	return fmt.Sprintf("POST /%s%d/?work=%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.kind, slotAt, r.work, id, r.deadline.Milliseconds(), bodyBytes), strings.Repeat("x", bodyBytes)
}

// lateStages maps how a request arrives to a function that writes it. Callers connect
// beforeStop before SIGTERM, and send the request, or the rest of it, at a tenth of
// StopWithin.
var lateStages = map[string]func(lt *lateTest, r lateRequest, nc net.Conn){
	"idle connection": func(lt *lateTest, r lateRequest, nc net.Conn) {
		time.Sleep(time.Until(lt.at(r.tenth)))
		lt.write(nc, r, 0, 0, 0)
	},
	"head": func(lt *lateTest, r lateRequest, nc net.Conn) { lt.write(nc, r, 0, 10, 0) },
	"body": func(lt *lateTest, r lateRequest, nc net.Conn) { lt.write(nc, r, 0, -50, 100) },
	// A body of this length is passed on while it arrives.
	"upload":     func(lt *lateTest, r lateRequest, nc net.Conn) { lt.write(nc, r, 0, -50, 100_000) },
	"slot":       func(lt *lateTest, r lateRequest, nc net.Conn) { lt.write(nc, r, r.tenth, 0, 0) },
	"connection": func(lt *lateTest, r lateRequest, nc net.Conn) { lt.write(nc, r, 0, 0, 0) },
	// The last answer before it is complete 50 ms after the request was sent.
	"pipelined": func(lt *lateTest, r lateRequest, nc net.Conn) {
		first := lateRequest{stage: "before " + r.id(), kind: "r", work: time.Until(lt.at(r.tenth)) + 50*time.Millisecond, deadline: longDeadline}
		head, _ := first.message(first.id(), 0, 0)
		_, _ = io.WriteString(nc, head)
		time.Sleep(time.Until(lt.at(r.tenth)))
		lt.write(nc, r, 0, 0, 0)
	},
}

// write writes a request. If first is not 0, it writes so many bytes now, or all but
// -first, and the others when the tenth of the request has come.
func (lt *lateTest) write(nc net.Conn, r lateRequest, slotAt, first, bodyBytes int) {
	head, body := r.message(r.id(), slotAt, bodyBytes)
	message := head + body
	if first < 0 {
		first += len(message)
	}
	if first > 0 {
		_, _ = io.WriteString(nc, message[:first])
		time.Sleep(time.Until(lt.at(r.tenth)))
	}
	_, _ = io.WriteString(nc, message[first:])
}

// send sends a request and records its answer.
func (lt *lateTest) send(r lateRequest) {
	defer lt.callers.Done()
	if r.stage == "connection" {
		time.Sleep(time.Until(lt.at(r.tenth)))
	}
	nc, err := lt.net.Host("caller").Dial(context.Background(), "tcp", "a:1")
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	go lateStages[r.stage](lt, r, nc)
	br := bufio.NewReader(nc)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			return
		}
		// The server's answers bear the ID, and so do those of the node itself.
		lt.mu.Lock()
		lt.answers[resp.Header.Get("Request-Id")] = lateAnswer{resp.StatusCode, time.Since(lt.began)}
		lt.mu.Unlock()
	}
}

// run sends requests that arrive in each stage at each tenth of StopWithin, and stops
// the node.
func (lt *lateTest) run(t *testing.T) []lateRequest {
	ctx, term := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = lt.node.Run(ctx) }()
	time.Sleep(time.Millisecond)
	var requests []lateRequest
	for stage := range lateStages {
		for _, kind := range []string{"w", "r"} {
			for tenth := 1; tenth <= tenths; tenth++ {
				for _, work := range []time.Duration{shortWork, lt.limit / 5, longWork} {
					requests = append(requests, lateRequest{stage, kind, tenth, work, longDeadline})
				}
				requests = append(requests, lateRequest{stage, kind, tenth, longWork, lt.limit / 5})
			}
		}
	}
	for _, r := range requests {
		lt.callers.Add(1)
		go lt.send(r)
		// The listener's queue is short.
		time.Sleep(time.Microsecond)
	}
	time.Sleep(time.Until(lt.began))
	term()
	<-ended
	require.Less(t, time.Since(lt.began), lt.limit)
	// The process ends: what is under way is cut.
	lt.net.Kill("a")
	lt.callers.Wait()
	time.Sleep(2 * longWork)
	return requests
}

// Guards against a planned stop that passes requests on late in the grace time and
// cuts them at its end, and against requests that were read and get no answer.
func TestStopAnswersOrRefusesEachRequestItRead(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 20 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lt := newLateTest(t, limit)
				for _, r := range lt.run(t) {
					lt.check(t, r)
				}
				for id := range lt.handled {
					require.NotZero(t, lt.answers[id].status, id)
				}
			})
		})
	}
}

func (lt *lateTest) check(t *testing.T, r lateRequest) {
	id := r.id()
	answer, handled, received := lt.answers[id], lt.handled[id], lt.received[id]
	if handled.IsZero() {
		require.Zero(t, received, id)
		return
	}
	late := lt.began.Add(min(lateDelay, lt.limit/2))
	if r.work == shortWork && lt.at(r.tenth).Before(late) {
		require.Equal(t, http.StatusOK, answer.status, "refused although there was time: %s", id)
	}
	switch answer.status {
	case http.StatusOK:
		require.NotZero(t, received, id)
	case http.StatusServiceUnavailable:
		require.Zero(t, received, id)
	case http.StatusGatewayTimeout:
		require.False(t, lt.began.Add(answer.at).Before(lt.deadlines[id]), id)
	case http.StatusBadGateway:
		require.False(t, handled.After(late), "passed on and cut although it was read late: %s", id)
		if lt.limit >= 3*time.Second {
			require.GreaterOrEqual(t, answer.at, lt.limit*5/6, "cut before the last sixth of the grace time: %s", id)
		}
		if r.kind == "w" {
			require.False(t, received.After(late), "passed on late and cut: %s", id)
		}
	default:
		require.Failf(t, "no answer", "%s, read at %s: %+v", id, handled.Sub(lt.began), answer)
	}
}

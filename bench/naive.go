package bench

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/topo"
)

// naive is the baseline proxy. It picks the server of a key by the key's hash modulo
// the number of live servers and has no queue, ownership, request history or
// retries. One mutex protects the token buckets of all customers.
type naive struct {
	services map[topo.ServiceName][]topo.BackendServer
	routes   []config.Route
	client   *http.Client

	mu           sync.Mutex
	unhealthy    map[topo.ServerID]bool
	outOfService map[topo.DataCentreName]bool
	buckets      map[topo.CustomerID]*bucket
}

type bucket struct {
	Rate
	tokens float64
	at     time.Time
}

// healthInterval is the interval between health checks of a server, and their
// timeout.
const healthInterval = 500 * time.Millisecond

func newNaive(doc *config.Document) *naive {
	n := &naive{
		services: map[topo.ServiceName][]topo.BackendServer{}, routes: doc.Routes,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, Timeout: callerTimeout},
		unhealthy: map[topo.ServerID]bool{}, outOfService: map[topo.DataCentreName]bool{}, buckets: map[topo.CustomerID]*bucket{},
	}
	for _, s := range doc.Services {
		n.services[s.Name] = s.Servers
	}
	for _, c := range customers() {
		n.buckets[c.id] = &bucket{Rate: c.Rate, tokens: c.Burst, at: time.Now()}
	}
	return n
}

// runHealthChecks checks the health of all servers at each interval until ctx is done.
func (n *naive) runHealthChecks(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		for _, list := range n.services {
			for _, s := range list {
				n.checkHealth(ctx, s)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

func (n *naive) checkHealth(ctx context.Context, s topo.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/health", nil)
	resp, err := n.client.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unhealthy[s.ID] = err != nil
}

func (n *naive) setOutOfService(dc topo.DataCentreName, outOfService bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outOfService[dc] = outOfService
}

// admit takes a token from the customer's bucket and reports whether there was one.
func (n *naive) admit(id topo.CustomerID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.buckets[id]
	if b == nil {
		return false
	}
	now := time.Now()
	b.tokens = min(b.Burst, b.tokens+b.PerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pick returns the server for a request. It returns false if no route matches or no
// server is live.
func (n *naive) pick(r *http.Request) (topo.BackendServer, bool) {
	i := slices.IndexFunc(n.routes, func(rt config.Route) bool {
		return strings.HasPrefix(r.URL.Path, rt.Path) && slices.Contains(rt.Methods, r.Method)
	})
	if i < 0 {
		return topo.BackendServer{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var live []topo.BackendServer
	for _, s := range n.services[n.routes[i].Service] {
		if !n.unhealthy[s.ID] && !n.outOfService[s.DataCentre] {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return topo.BackendServer{}, false
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Header.Get("Key"))
	return live[h.Sum64()%uint64(len(live))], true
}

// ServeHTTP forwards a request to the server of its key. The caller key in the
// Authorization header is the customer's id.
func (n *naive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := topo.CustomerID(strings.TrimPrefix(r.Header.Get(call.HeaderAuthorization), "Bearer "))
	if !n.admit(id) {
		refuse(w, http.StatusTooManyRequests, "rate_exceeded", "not-run")
		return
	}
	s, ok := n.pick(r)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "no_owner", "not-run")
		return
	}
	outbound, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.Addr+r.URL.RequestURI(), r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "not-run")
		return
	}
	outbound.Header = r.Header.Clone()
	outbound.Header.Del(call.HeaderAuthorization)
	outbound.Header.Set(call.HeaderCustomerID, string(id))
	outbound.ContentLength = r.ContentLength
	// net/http does not retry a request whose body cannot be rewound.
	outbound.Body, outbound.GetBody = io.NopCloser(r.Body), nil
	resp, err := n.client.Do(outbound)
	if err != nil {
		refuse(w, http.StatusBadGateway, "outcome_unknown", "unknown")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, status int, kind, outcome string) {
	w.Header().Set(call.HeaderError, kind)
	w.Header().Set(call.HeaderOutcome, outcome)
	w.WriteHeader(status)
}

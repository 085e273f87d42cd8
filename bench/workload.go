package bench

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/examples"
	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/topo"
)

// Workload describes the deployment and the load of a benchmark. Rates are scaled to
// a single machine, because all daemons, stand-ins and callers share its cores.
type Workload struct {
	Name             string
	Document         []byte
	VMsPerDataCentre int
	KeyedService     topo.ServiceName
	// ServiceTime is how long a server takes to execute a request.
	ServiceTime time.Duration
	Kinds       []load.Kind
	// RemovedDataCentre is the data centre that is taken out of service during
	// the run and brought back.
	RemovedDataCentre topo.DataCentreName
}

const (
	// serviceTime is spent waiting, so that stand-ins use little CPU.
	serviceTime = 4 * time.Millisecond
	// connectDelay is the time to open a connection to a server
	// (docs/design.md section 1.3).
	connectDelay = time.Millisecond
	// totalRatePerSecond is the sum of the customers' mean rates, without probes
	// and surges. At 500/s, all components together use about two cores.
	totalRatePerSecond = 400
	// headroom is a customer's rate limit as a multiple of its mean rate. It
	// allows for the variance of Poisson arrivals.
	headroom = 2
	// surgeFactor is the flooder's rate during the surge as a multiple of its
	// mean rate.
	surgeFactor = 8 * headroom
	slowFactor  = 10
	// slowedServers is the number of servers that slowFactor applies to.
	slowedServers = 4
	numKeys       = 20_000
	zipfSkew      = 1.1
	repeatShare   = 0.05
	callerTimeout = 10 * time.Second
	maxInFlight   = 4000
	maxRequests   = 100_000
	// probeKeys is the number of keys that the prober sends requests for.
	probeKeys             = 40
	probesPerKeyPerSecond = 5
	prober                = topo.CustomerID("prober")
)

// customerShares are the customers' fractions of totalRatePerSecond. A few large
// customers dominate.
var customerShares = []float64{0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02}

// flooder is the customer that sends 8 times its rate limit during the surge.
const flooder = topo.CustomerID("customer-4")

// Workloads returns all workloads by name.
func Workloads() map[string]*Workload {
	return map[string]*Workload{
		"lumenfolha": {
			Name: "lumenfolha", Document: examples.Lumenfolha, VMsPerDataCentre: 3, KeyedService: "ledger",
			ServiceTime: serviceTime, RemovedDataCentre: "lis-b",
			Kinds: []load.Kind{
				{Name: "checkin", Method: "GET", Path: "/checkin/%s", Share: 0.60},
				{Name: "confirm", Method: "POST", Path: "/confirm/%s", Share: 0.32, ExactlyOnce: true, BodyBytes: 200},
				{Name: "image", Method: "GET", Path: "/images/%s", Share: 0.08, Large: true, Pooled: true, ResponseBytes: 256 << 10},
			},
		},
		"sutokatha": {
			Name: "sutokatha", Document: examples.Sutokatha, VMsPerDataCentre: 4, KeyedService: "orders",
			ServiceTime: serviceTime, RemovedDataCentre: "bgl-b",
			Kinds: []load.Kind{
				{Name: "proof", Method: "GET", Path: "/proof/%s", Share: 0.40},
				{Name: "catalogue", Method: "GET", Path: "/catalogue?collection=%s", Share: 0.15},
				{Name: "order", Method: "POST", Path: "/orders/%s", Share: 0.25, ExactlyOnce: true, BodyBytes: 2000},
				{Name: "payment", Method: "POST", Path: "/payments/confirm", KeyHeader: "Order-Id", Share: 0.12, ExactlyOnce: true, BodyBytes: 300},
				{Name: "bundle", Method: "GET", Path: "/patterns/%s", Share: 0.08, Large: true, Pooled: true, ResponseBytes: 512 << 10},
			},
		},
	}
}

// Find returns a workload by name. For an unknown name, it returns a not-found error
// that lists the known names.
func Find(name string) (*Workload, error) {
	all := Workloads()
	if w := all[name]; w != nil {
		return w, nil
	}
	return nil, errors.NotFoundf("workload %q (known: %s)", name, strings.Join(slices.Sorted(maps.Keys(all)), ", "))
}

// customer is a customer with its mean request rate per second and its rate limit.
type customer struct {
	id   topo.CustomerID
	mean float64
	Rate
}

func customers() []customer {
	var list []customer
	for i, share := range customerShares {
		mean := share * totalRatePerSecond
		list = append(list, customer{
			id: topo.CustomerID(fmt.Sprintf("customer-%d", i+1)), mean: mean,
			Rate: Rate{PerSecond: mean * headroom, Burst: 2 * mean * headroom},
		})
	}
	probes := float64(probeKeys * probesPerKeyPerSecond)
	return append(list, customer{id: prober, mean: probes, Rate: Rate{PerSecond: 4 * probes, Burst: 8 * probes}})
}

// timeline holds the times of a run's faults, relative to its start. They are defined
// for a duration of 36 s and scaled to other durations. A server is lost between two
// health checks of the naive proxy, which begin with the run: after a loss at 31 s, the
// next health check would follow immediately and hide the loss.
type timeline struct {
	unit                                                                                         float64
	steady, dataCentreRemoval, dataCentreReturn, slowServers, restoreSpeed, startSurge, endSurge time.Duration
	loseServer, returnServer                                                                     time.Duration
}

const timelineLength = 36 * time.Second

func newTimeline(d time.Duration) timeline {
	unit := float64(d) / float64(timelineLength)
	at := func(seconds float64) time.Duration { return time.Duration(seconds * unit * float64(time.Second)) }
	return timeline{
		unit: unit, steady: at(1), dataCentreRemoval: at(6), dataCentreReturn: at(14), slowServers: at(21), restoreSpeed: at(25),
		startSurge: at(26), endSurge: at(29), loseServer: at(31.25), returnServer: at(33.25),
	}
}

func (w *Workload) plan(t timeline, d time.Duration, seed uint64, targets []string, key func(topo.CustomerID) string) *load.Plan {
	p := &load.Plan{
		Targets: targets, Kinds: w.Kinds, Keys: numKeys, ZipfS: zipfSkew, HotKeyPeriod: d / 4,
		Surge:       load.Surge{Customer: flooder, From: t.startSurge, To: t.endSurge, Factor: surgeFactor},
		RepeatShare: repeatShare, Timeout: callerTimeout, Duration: d,
		MaxRequests: maxRequests, MaxInFlight: maxInFlight, Seed: seed,
	}
	for _, c := range customers() {
		lc := load.Customer{ID: c.id, CallerKey: key(c.id), Rate: c.mean}
		if c.id == prober {
			for i := range probeKeys {
				lc.Keys = append(lc.Keys, fmt.Sprintf("probe-%d", i))
			}
		}
		p.Customers = append(p.Customers, lc)
	}
	return p
}

var documentAddr = regexp.MustCompile(`"10\.[0-9.]+:8080"`)

// withLoopbackAddrs returns the document with its server addresses replaced by free
// loopback addresses, as text and parsed.
func (w *Workload) withLoopbackAddrs() ([]byte, *config.Document, error) {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	var failed error
	out := documentAddr.ReplaceAllFunc(w.Document, func([]byte) []byte {
		lis, err := listenOnFreePort()
		if err != nil {
			failed = err
			return nil
		}
		open = append(open, lis)
		return fmt.Appendf(nil, "%q", lis.Addr().String())
	})
	if failed != nil {
		return nil, nil, failed
	}
	doc, err := config.ParseDocument(w.Name, bytes.Clone(out))
	return out, doc, err
}

// listenOnFreePort listens on a free loopback port below the ephemeral port range.
// An outgoing connection could otherwise take the port of a lost server before the
// server returns. The search starts at a port that depends on the process id, because
// the listener is closed before the server listens on its port and another process
// could take it in between.
func listenOnFreePort() (net.Listener, error) {
	const from, to, stride = 22_000, 32_000, 128
	first := os.Getpid() * stride % (to - from)
	for i := range to - from {
		port := from + (first+i)%(to-from)
		if lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return lis, nil
		}
	}
	return nil, errors.Errorf("no free loopback port from %d to %d", from, to)
}

package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/standin/local"
)

// RatioLine compares direct with routed requests at one number of callers.
type RatioLine struct {
	Callers int `json:"callers"`
	// Latency quantiles are in microseconds.
	DirectP50 float64 `json:"direct_p50_us"`
	DirectP99 float64 `json:"direct_p99_us"`
	RoutedP50 float64 `json:"routed_p50_us"`
	RoutedP99 float64 `json:"routed_p99_us"`
	// Allocations are counted per request in the whole process, including the
	// callers and the server stand-in. The router accounts for the difference.
	DirectAllocs float64 `json:"direct_allocs"`
	RoutedAllocs float64 `json:"routed_allocs"`
}

// ratioDocument is a service document with one server, which has more slots than
// there are callers. %s is the server's address.
const ratioDocument = `
[[data_centre]]
name = "dc-a"

[[service]]
name = "ledger"
kind = "keyed"
checks_grants = false
server = [ { id = "ledger-01", data_centre = "dc-a", addr = "%s", slots = 128, max_conns = 512 } ]

[[route]]
path = "/ledger/"
methods = ["GET"]
service = "ledger"
key_segment = 2
idempotent = true
open_to_all = true
`

const (
	// blockDuration is the duration of one measurement block. Direct and routed
	// blocks alternate, so that other load on the machine affects both alike.
	blockDuration = time.Second
	blocksPerSide = 3
)

// Ratio measures the latency and allocations of requests sent through one VM and of
// requests sent directly to the server, with 1 and with 64 callers.
func Ratio(ctx context.Context) ([]RatioLine, error) {
	lis, err := listenOnFreePort()
	if err != nil {
		return nil, err
	}
	addr := lis.Addr().String()
	_ = lis.Close()
	document := fmt.Appendf(nil, ratioDocument, addr)
	doc, err := config.ParseDocument("ratio", document)
	if err != nil {
		return nil, err
	}
	l, err := local.Start(local.Options{
		Environment: environment, Document: document, VMsPerDataCentre: 1, Log: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	d := &deployment{Deployment: l, doc: doc, stop: func() {}}
	defer d.close()
	if err := d.startCurrent(ctx, ratioCustomers()); err != nil {
		return nil, err
	}
	var lines []RatioLine
	for _, callers := range []int{1, 64} {
		line := RatioLine{Callers: callers}
		direct, routed := newSample(), newSample()
		for range blocksPerSide {
			if err := direct.runBlock(ctx, callers, "http://"+addr, ""); err != nil {
				return nil, errors.Annotate(err, "direct")
			}
			if err := routed.runBlock(ctx, callers, d.targets[0], d.callerKey("caller")); err != nil {
				return nil, errors.Annotate(err, "routed")
			}
		}
		line.DirectP50, line.DirectP99, line.DirectAllocs = direct.values()
		line.RoutedP50, line.RoutedP99, line.RoutedAllocs = routed.values()
		lines = append(lines, line)
	}
	return lines, nil
}

// ratioCustomers returns one customer whose rate limit the callers cannot reach.
func ratioCustomers() []customer {
	return []customer{{id: "caller", Rate: Rate{PerSecond: 1e6, Burst: 1e6}}}
}

// sample collects the measurements of one side of the comparison.
type sample struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	allocs uint64
}

func newSample() *sample {
	return &sample{hist: hdrhistogram.New(1, 60_000_000_000, 3)}
}

func (s *sample) values() (p50, p99, allocs float64) {
	us := func(q float64) float64 { return float64(s.hist.ValueAtQuantile(q)) / 1000 }
	return us(50), us(99), float64(s.allocs) / float64(s.hist.TotalCount())
}

// runBlock sends requests from concurrent callers for blockDuration. Each caller waits
// for a response before it sends its next request.
func (s *sample) runBlock(ctx context.Context, callers int, base, callerKey string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	end := time.Now().Add(blockDuration)
	errs := make(chan error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				if err := s.send(ctx, client, fmt.Sprintf("%s/ledger/k%d", base, i), callerKey); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	s.allocs += after.Mallocs - before.Mallocs
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func (s *sample) send(ctx context.Context, client *http.Client, url, callerKey string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if callerKey != "" {
		req.Header.Set(call.HeaderAuthorization, "Bearer "+callerKey)
	}
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	latency := time.Since(sentAt)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d (%s), expected 200: %v", resp.StatusCode, resp.Header.Get(call.HeaderError), err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hist.RecordValue(latency.Nanoseconds())
}

// PrintRatio writes the comparison as a table with one row per number of callers.
func PrintRatio(w io.Writer, lines []RatioLine) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "callers\tdirect p50 us\trouted p50 us\tratio\tdirect p99 us\trouted p99 us\tratio\tdirect allocs\trouted allocs\tadded allocs\t")
	for _, l := range lines {
		_, _ = fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t\n", l.Callers,
			l.DirectP50, l.RoutedP50, l.RoutedP50/l.DirectP50, l.DirectP99, l.RoutedP99, l.RoutedP99/l.DirectP99,
			l.DirectAllocs, l.RoutedAllocs, l.RoutedAllocs-l.DirectAllocs)
	}
	_ = t.Flush()
}

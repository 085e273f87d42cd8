package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/topo"
)

// loadCommand is an open-loop load generator for running daemons. It implements
// subcommands.Command.
type loadCommand struct {
	stdout, stderr               io.Writer
	targets, callerKeysFile      string
	read, write, large           string
	writeShare, largeShare       float64
	rate, skew                   float64
	duration, timeout, hotPeriod time.Duration
	requests                     int
	keys, seed                   uint64
	json, quiet                  bool
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send requests to running daemons and measure them" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -targets URL[,URL...] -caller-keys FILE [flags]

Sends idempotent requests (-read), exactly-once requests (-write) and large
transfers (-large) on a fixed schedule, whether or not earlier ones were
answered, and prints latencies measured from the scheduled times. Each line of
FILE is a customer's name, its share of the rate and its caller key.

Example, against the quickstart:
  godwitlock load -targets http://127.0.0.1:40001 -caller-keys keys.txt \
    -read '/ledger/%s' -write '/ledger/%s' -large '/images/%s' -rate 200

`
}

// SetFlags implements subcommands.Command.
func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.targets, "targets", "", "base URLs of daemons, separated by commas")
	f.StringVar(&l.callerKeysFile, "caller-keys", "", "file of customers: name, share, caller key")
	f.StringVar(&l.read, "read", "/ledger/%s", "path of idempotent GET requests; %s is the key")
	f.StringVar(&l.write, "write", "", "path of exactly-once POST requests; empty sends none")
	f.StringVar(&l.large, "large", "", "path of large GET transfers; empty sends none")
	f.Float64Var(&l.writeShare, "write-share", 0.3, "share of exactly-once requests")
	f.Float64Var(&l.largeShare, "large-share", 0.05, "share of large transfers")
	f.Float64Var(&l.rate, "rate", 100, "requests per second of all customers, at most 20000")
	f.Float64Var(&l.skew, "skew", 1.1, "Zipf skew of the keys, above 1")
	f.DurationVar(&l.duration, "duration", 10*time.Second, "duration, at most 10m")
	f.DurationVar(&l.timeout, "timeout", 10*time.Second, "time limit of each request")
	f.DurationVar(&l.hotPeriod, "hot-period", 10*time.Second, "time after which the most frequent keys are replaced by others")
	f.IntVar(&l.requests, "requests", 100_000, "maximum number of requests to send, at most 10000000")
	f.Uint64Var(&l.keys, "keys", 10_000, "number of keys")
	f.Uint64Var(&l.seed, "seed", 1, "seed of the schedule")
	f.BoolVar(&l.json, "json", false, "print JSON")
	f.BoolVar(&l.quiet, "q", false, "print no progress")
}

// Bounds of a run, so that a mistyped flag does not load a system for hours.
const (
	maxLoadRatePerSecond = 20_000
	maxLoadDuration      = 10 * time.Minute
	maxLoadRequests      = 10_000_000
	// maxLoadInFlight bounds the number of requests in flight.
	maxLoadInFlight = 10_000
	// loadWriteBytes is the body size of exactly-once requests, loadLargeBytes
	// that of the responses to large transfers.
	loadWriteBytes, loadLargeBytes = 200, 256 << 10
)

// Execute implements subcommands.Command.
func (l *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	plan, err := l.plan(f)
	if err != nil {
		_, _ = fmt.Fprintln(l.stderr, "godwitlock load:", err)
		return subcommands.ExitUsageError
	}
	records, err := load.Run(ctx, plan)
	if err == nil {
		err = l.print(load.Summarise(records))
	}
	if err != nil {
		_, _ = fmt.Fprintln(l.stderr, "godwitlock load:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (l *loadCommand) print(lines []load.GroupSummary) error {
	if l.json {
		return printJSON(l.stdout, lines)
	}
	load.Print(l.stdout, lines)
	return nil
}

func (l *loadCommand) plan(f *flag.FlagSet) (*load.Plan, error) {
	if f.NArg() > 0 || l.targets == "" || l.callerKeysFile == "" {
		return nil, errors.New("-targets and -caller-keys are needed, and no argument may follow the flags")
	}
	if l.rate <= 0 || l.rate > maxLoadRatePerSecond || l.duration > maxLoadDuration || l.requests > maxLoadRequests {
		return nil, errors.Errorf("rate, duration or number of requests out of bounds (at most %d/s, %v, %d)", maxLoadRatePerSecond, maxLoadDuration, maxLoadRequests)
	}
	data, err := os.ReadFile(l.callerKeysFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	customers, err := parseCustomers(string(data), l.rate)
	if err != nil {
		return nil, err
	}
	p := &load.Plan{
		Targets: strings.Split(l.targets, ","), Customers: customers, Kinds: l.kinds(),
		Keys: l.keys, ZipfS: l.skew, HotKeyPeriod: l.hotPeriod, Timeout: l.timeout, Duration: l.duration,
		MaxRequests: l.requests, MaxInFlight: maxLoadInFlight, Seed: l.seed,
	}
	if !l.quiet {
		p.Progress = l.stderr
	}
	return p, nil
}

func (l *loadCommand) kinds() []load.Kind {
	kinds := []load.Kind{{Name: "read", Method: "GET", Path: l.read, Share: 1}}
	if l.write != "" {
		kinds[0].Share -= l.writeShare
		kinds = append(kinds, load.Kind{Name: "write", Method: "POST", Path: l.write, Share: l.writeShare, ExactlyOnce: true, BodyBytes: loadWriteBytes})
	}
	if l.large != "" {
		kinds[0].Share -= l.largeShare
		kinds = append(kinds, load.Kind{Name: "large", Method: "GET", Path: l.large, Share: l.largeShare, Large: true, ResponseBytes: loadLargeBytes})
	}
	return kinds
}

// parseCustomers parses lines of name, share and caller key, and divides the rate
// (requests per second) among the customers by their shares. Errors give the line
// number and never contain the caller key.
func parseCustomers(data string, rate float64) ([]load.Customer, error) {
	var list []load.Customer
	total := 0.0
	for i, line := range strings.Split(data, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var name, key string
		var share float64
		if n, _ := fmt.Sscanf(line, "%s %g %s", &name, &share, &key); n != 3 || share <= 0 {
			return nil, errors.Errorf("line %d of the caller keys file: expected a name, a share above 0 and a caller key", i+1)
		}
		total += share
		list = append(list, load.Customer{ID: topo.CustomerID(name), Rate: share, CallerKey: key})
	}
	for i := range list {
		list[i].Rate *= rate / total
	}
	return list, nil
}

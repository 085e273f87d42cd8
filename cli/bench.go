package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/bench"
	"godwitlock.example/godwitlock/load"
)

// benchCommand measures a workload against a deployment on loopback, in this
// process. It implements subcommands.Command.
type benchCommand struct {
	stdout, stderr   io.Writer
	workload, policy string
	seed             uint64
	duration         time.Duration
	json, verbose    bool
	ratio            bool
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "measure a workload with faults on loopback" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench -workload lumenfolha|sutokatha [-policy current|naive|both] [-seed N] [-duration D] [-json]
bench -ratio [-json]

Starts the workload's servers and 12 daemons in this process, sends requests
while a data centre is taken out of service and brought back in, servers are
slow, a customer exceeds its rate and a server fails. Prints the figures that
docs/design.md section 1.2 defines and the number of violations of each
guarantee, which must be 0. The exit status is 1 when the current policy violates
a guarantee.

-ratio compares requests through one VM with requests sent to the server.

`
}

// SetFlags implements subcommands.Command.
func (b *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&b.workload, "workload", "lumenfolha", "lumenfolha or sutokatha")
	f.StringVar(&b.policy, "policy", bench.Current, "current, naive or both")
	f.Uint64Var(&b.seed, "seed", 1, "seed of the load")
	f.DurationVar(&b.duration, "duration", 36*time.Second, "duration of the load, 18s to 50s")
	f.BoolVar(&b.json, "json", false, "print JSON")
	f.BoolVar(&b.verbose, "v", false, "print progress and the daemons' warnings to standard error")
	f.BoolVar(&b.ratio, "ratio", false, "compare requests through one VM with direct ones")
}

// Bounds of -duration. A shorter load would not keep a data centre out for longer
// than the 3 s within which a change takes effect. A longer one would not let the
// run end within 60 s.
const minBenchDuration, maxBenchDuration = 18 * time.Second, 50 * time.Second

// Execute implements subcommands.Command.
func (b *benchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	policies := map[string][]string{bench.Current: {bench.Current}, bench.Naive: {bench.Naive}, "both": {bench.Current, bench.Naive}}[b.policy]
	if f.NArg() > 0 || policies == nil || b.duration < minBenchDuration || b.duration > maxBenchDuration {
		_, _ = fmt.Fprintln(b.stderr, "godwitlock bench: expected -policy current, naive or both, -duration from 18s to 50s, and no arguments")
		return subcommands.ExitUsageError
	}
	w, err := bench.Find(b.workload)
	if err != nil {
		_, _ = fmt.Fprintln(b.stderr, "godwitlock bench:", err)
		return subcommands.ExitUsageError
	}
	if b.ratio {
		err = b.runRatio(ctx)
	} else {
		err = b.run(ctx, w, policies)
	}
	if err != nil {
		_, _ = fmt.Fprintln(b.stderr, "godwitlock bench:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (b *benchCommand) run(ctx context.Context, w *bench.Workload, policies []string) error {
	opt := bench.Options{Seed: b.seed, Duration: b.duration, Log: zerolog.Nop()}
	if b.verbose {
		opt.Progress = b.stderr
		opt.Log = zerolog.New(b.stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	}
	var results []*bench.Result
	violations := 0
	for _, p := range policies {
		opt.Policy = p
		r, err := bench.Run(ctx, w, opt)
		if err != nil {
			return err
		}
		if p == bench.Current {
			violations = r.Violations.Total()
		}
		results = append(results, r)
	}
	if err := b.print(results); err != nil {
		return err
	}
	if violations > 0 {
		return errors.Errorf("the guarantees were violated %d times", violations)
	}
	return nil
}

func (b *benchCommand) print(results []*bench.Result) error {
	if b.json {
		return printJSON(b.stdout, results)
	}
	bench.Print(b.stdout, results)
	for _, r := range results {
		_, _ = fmt.Fprintf(b.stdout, "\nload under %s\n", r.Policy)
		load.Print(b.stdout, r.Load)
		for _, line := range r.Evidence {
			_, _ = fmt.Fprintln(b.stdout, line)
		}
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(v))
}

func (b *benchCommand) runRatio(ctx context.Context) error {
	lines, err := bench.Ratio(ctx)
	if err != nil {
		return err
	}
	if b.json {
		return printJSON(b.stdout, lines)
	}
	bench.PrintRatio(b.stdout, lines)
	return nil
}

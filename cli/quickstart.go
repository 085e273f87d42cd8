package cli

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/examples"
	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/standin/local"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	quickstartEnv = "quickstart"
	// quickstartStartTimeout bounds the creation of the customer and the time
	// until all daemons are ready.
	quickstartStartTimeout = 30 * time.Second
)

// quickstart runs a whole deployment on loopback in one process. It implements
// subcommands.Command.
type quickstart struct {
	stdout, stderr io.Writer
	once, verbose  bool
	helpShown      bool
}

// Name implements subcommands.Command.
func (*quickstart) Name() string { return "quickstart" }

// Synopsis implements subcommands.Command.
func (*quickstart) Synopsis() string {
	return "start a whole deployment in one process on loopback"
}

// Usage implements subcommands.Command.
func (*quickstart) Usage() string {
	return `quickstart [-once] [-v]

Starts a stand-in of the platform, 12 backend servers of two services and six
daemons in three data centres, all on 127.0.0.1, creates a customer with a
caller key and prints requests to try. Nothing is kept after it ends.

Examples:
  godwitlock quickstart         run until interrupted
  godwitlock quickstart -once   perform the tour, check every step and end

`
}

// SetFlags implements subcommands.Command.
func (q *quickstart) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&q.once, "once", false, "perform the tour, check every step and end")
	f.BoolVar(&q.verbose, "v", false, "print the daemons' logs")
	setOneLineUsage(f, q.Name(), q.stderr, func() {
		q.helpShown = true
		_, _ = io.WriteString(q.stdout, q.Usage())
	})
}

// Execute implements subcommands.Command.
func (q *quickstart) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		_, _ = fmt.Fprintf(q.stderr, "godwitlock quickstart: unexpected argument %q\n", f.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := q.run(ctx); err != nil {
		_, _ = fmt.Fprintln(q.stderr, "godwitlock quickstart:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (q *quickstart) run(ctx context.Context) error {
	log := zerolog.Nop()
	if q.verbose {
		log = zerolog.New(q.stderr).With().Timestamp().Logger()
	}
	started := time.Now()
	d, err := local.Start(local.Options{
		Environment: quickstartEnv, Document: examples.Quickstart, VMsPerDataCentre: 2,
		ServiceTime: 2 * time.Millisecond, Log: log,
	})
	if err != nil {
		return err
	}
	defer d.Close()
	t, err := newTour(ctx, d)
	if err != nil {
		return err
	}
	q.printf("six daemons in three data centres are ready after %v\n\n", time.Since(started).Round(time.Millisecond))
	if q.once {
		return t.perform(ctx, q.printf)
	}
	q.printf("%s\n", t.commands())
	<-ctx.Done()
	q.printf("stopping\n")
	return nil
}

func (q *quickstart) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(q.stdout, format, args...)
}

// tour is a deployment that is ready for the steps of the tour, with a customer
// and its caller keys. The tour withdraws keyToWithdraw.
type tour struct {
	deployment    *local.Deployment
	operator      *operate.Operator
	customer      topo.CustomerID
	callerKey     callerkey.Key
	keyToWithdraw callerkey.Key
}

// newTour creates a customer with two caller keys, one of which the tour
// withdraws, and waits until the deployment is ready.
func newTour(ctx context.Context, deployment *local.Deployment) (*tour, error) {
	op, err := operate.New(operate.Settings{
		Store: store.NewClient(deployment.PlatformURL, nil), Env: quickstartEnv, OperatorName: "quickstart", Random: rand.Reader,
	})
	if err != nil {
		return nil, err
	}
	t := &tour{deployment: deployment, operator: op, customer: "acme"}
	ctx, cancel := context.WithTimeout(ctx, quickstartStartTimeout)
	defer cancel()
	_, err = op.CreateCustomer(ctx, config.Customer{
		ID: t.customer, Rate: 2000, Burst: 4000, Weight: 1, Services: []topo.ServiceName{"ledger", "images"},
	}, "quickstart")
	if err != nil {
		return nil, errors.Annotate(err, "create the customer")
	}
	for _, k := range []*callerkey.Key{&t.callerKey, &t.keyToWithdraw} {
		if *k, _, err = op.IssueCallerKey(ctx, t.customer, operate.KeyOptions{}, "quickstart"); err != nil {
			return nil, errors.Annotate(err, "issue a caller key")
		}
	}
	if err := deployment.WaitReady(ctx); err != nil {
		return nil, err
	}
	// For MaxKeySkew after the start, exactly-once requests are refused with
	// history_lost, because an earlier home VM might have run them.
	time.Sleep(execution.MaxKeySkew)
	return t, nil
}

// commands returns the text with shell commands for the user to try.
func (t *tour) commands() string {
	vm := t.deployment.VMs[0].Settings
	var admins []string
	for _, v := range t.deployment.VMs {
		admins = append(admins, v.Settings.AdminAddr)
	}
	base := "http://" + vm.CallerAddr
	return fmt.Sprintf(`Try these in another terminal.

An idempotent request to a keyed service (the answer names the backend server):
  curl -i -H 'Authorization: Bearer %[2]s' %[1]s/ledger/device-42

A request that runs exactly once (repeat it with the same key: it does not run again):
  ID=$(curl -s -X POST %[1]s/.godwitlock/idempotency-key)
  curl -i -X POST -H 'Authorization: Bearer %[2]s' -H "Idempotency-Key: $ID" -d confirmed %[1]s/ledger/device-42

The owner of a key:
  curl -s 'http://%[3]s/owner?service=ledger&key=device-42'

The state of the environment and of all VMs:
  go run ./cmd/godwitlock status -platform %[4]s -env %[5]s -admin %[9]s

Taking a data centre out, and back in:
  go run ./cmd/godwitlock datacentre -platform %[4]s -env %[5]s out dc-b
  go run ./cmd/godwitlock datacentre -platform %[4]s -env %[5]s in dc-b

Withdrawing a caller key (requests with it are refused within 3 s):
  go run ./cmd/godwitlock caller-key -platform %[4]s -env %[5]s withdraw %[6]s %[7]s
  curl -i -H 'Authorization: Bearer %[8]s' %[1]s/ledger/device-42

Press Ctrl-C to stop.`,
		base, t.callerKey.Reveal(), vm.AdminAddr, t.deployment.PlatformURL, quickstartEnv, t.customer, t.keyToWithdraw.ID(), t.keyToWithdraw.Reveal(),
		strings.Join(admins, ","))
}

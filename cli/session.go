package cli

import (
	"context"
	"crypto/rand"
	"flag"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// callTimeout bounds the calls to the platform for one read or write of a
	// command. The time spent in -wait is not included.
	callTimeout = 20 * time.Second
	// defaultWaitTimeout is the time within which all VMs of a full-size
	// environment apply a configuration (docs/design.md, P12).
	defaultWaitTimeout = 12 * time.Second
)

// options holds the values of the flags that all commands share.
type options struct {
	platform, env, who, reason, admin string
	json, wait                        bool
	waitTimeout                       time.Duration
}

func (o *options) defineFlags(f *flag.FlagSet, platform, writes bool) {
	f.BoolVar(&o.json, "json", false, "print JSON")
	if platform {
		f.StringVar(&o.platform, "platform", "", "base `URL` of the platform's object API")
		f.StringVar(&o.env, "env", "", "`name` of the environment")
		f.StringVar(&o.admin, "admin", "", "admin `addresses` of VMs, separated by commas")
	}
	if writes {
		f.StringVar(&o.who, "who", os.Getenv("USER"), "operator's `name` for the audit trail")
		f.StringVar(&o.reason, "reason", "", "`text` for the audit trail")
		f.BoolVar(&o.wait, "wait", false, "wait until every VM with a lease has applied the change; needs -admin")
		f.DurationVar(&o.waitTimeout, "wait-timeout", defaultWaitTimeout, "maximum `time` to wait")
	}
}

// session is one execution of a command.
type session struct {
	*command
	options
	operator *operate.Operator
}

// prepare validates the common flags and creates the operator. Commands that do
// not call the platform have no operator, and neither have read commands with
// -admin but without -platform and -env.
func (s *session) prepare() error {
	if !s.needsPlatform || s.platform == "" && s.env == "" && !s.writes && s.admin != "" {
		return nil
	}
	if s.platform == "" || s.env == "" {
		return usagef("-platform and -env are needed")
	}
	u, err := url.Parse(s.platform)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return usagef("-platform %q is not a URL such as http://10.0.0.1:7000", s.platform)
	}
	if s.wait && len(s.adminAddrs()) == 0 {
		return usagef("-wait needs -admin")
	}
	who := s.who
	if !s.writes {
		who = "reader"
	}
	if who == "" {
		return usagef("-who is needed, since the environment variable USER is not set")
	}
	s.operator, err = operate.New(operate.Settings{
		Store: store.NewClient(s.platform, nil), Env: s.env, OperatorName: who, Random: rand.Reader,
	})
	if err != nil {
		return usagef("%s", err)
	}
	return nil
}

// adminAddrs returns the addresses given with -admin.
func (s *session) adminAddrs() []string {
	return strings.FieldsFunc(s.admin, func(r rune) bool { return r == ',' || r == ' ' })
}

// receipt is the JSON output of a command that writes.
type receipt struct {
	Key          string          `json:"key"`
	From         uint64          `json:"from"`
	To           uint64          `json:"to"`
	Resolved     bool            `json:"resolved"`
	AuditID      string          `json:"audit_id"`
	AuditPending bool            `json:"audit_pending"`
	Revision     topo.Revision   `json:"revision,omitempty"`
	InForce      *bool           `json:"in_force,omitempty"`
	CallerKey    string          `json:"caller_key,omitempty"`
	CallerKeyID  string          `json:"caller_key_id,omitempty"`
	Changes      *config.Changes `json:"changes,omitempty"`
}

// write performs an action and reports its outcome. The summary says what was
// done and is printed if the action succeeds.
func (s *session) write(ctx context.Context, summary string, do func(context.Context) (operate.Receipt, error)) error {
	return s.performWrite(ctx, summary, func(ctx context.Context) (receipt, error) {
		r, err := do(ctx)
		return newReceipt(r), err
	})
}

func newReceipt(r operate.Receipt) receipt {
	return receipt{Key: r.Key, From: r.From, To: r.To, Resolved: r.Resolved, AuditID: r.AuditID, AuditPending: r.AuditPending}
}

func (s *session) performWrite(ctx context.Context, summary string, do func(context.Context) (receipt, error)) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := do(callCtx)
	s.flushAudit(ctx, &out)
	if err != nil {
		return err
	}
	if !s.json {
		s.printReceipt(summary, out)
	}
	var waitErr error
	if s.wait {
		out.Revision, waitErr = s.awaitInForce(ctx, out)
		inForce := waitErr == nil
		out.InForce = &inForce
	}
	if s.json {
		if err := s.printJSON(out); err != nil {
			return err
		}
	}
	return waitErr
}

func (s *session) printReceipt(summary string, r receipt) {
	resolved := ""
	if r.Resolved {
		resolved = "; the answer was lost, and reading the object back showed that it took effect"
	}
	switch {
	case r.To == 0:
		s.printf("%s (%s deleted, was version %d%s)\n", summary, r.Key, r.From, resolved)
	default:
		s.printf("%s (%s, version %d -> %d%s)\n", summary, r.Key, r.From, r.To, resolved)
	}
	if r.CallerKey != "" {
		s.printf("caller key, shown only now: %s\n", r.CallerKey)
	}
}

// flushAudit retries once to add the result to the audit entry. The process
// exits after the command, so an entry that cannot be written now is lost.
func (s *session) flushAudit(ctx context.Context, r *receipt) {
	if s.operator.Audit.Pending() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// An attempt that was refused because it could not be audited returns an
	// error that says so, and needs no further message.
	if _, err := s.operator.Audit.Flush(ctx, time.Now()); err != nil && r.AuditPending {
		s.progress("godwitlock %s: the result of this attempt could not be added to the audit trail: %s", s.name, errors.Cause(err))
		return
	}
	r.AuditPending = false
}

// expectArgs returns a usage error unless there is exactly one argument for each
// name.
func expectArgs(args []string, names ...string) error {
	if len(args) < len(names) {
		return usagef("missing argument %s", names[len(args)])
	}
	if len(args) > len(names) {
		return usagef("unexpected argument %q", args[len(names)])
	}
	return nil
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/topo"
)

// callerKeyFlags holds the values of the caller-key command's flags.
type callerKeyFlags struct {
	note     string
	validFor time.Duration
}

func callerKeyCommand() *command {
	var k callerKeyFlags
	return &command{
		name: "caller-key", group: groupCustomer, args: "issue CUSTOMER | list CUSTOMER | withdraw CUSTOMER KEY-ID",
		needsPlatform: true, writes: true, synopsis: "issue, list and withdraw caller keys",
		help: `
A new key is printed once and stored only as a hash. A customer may have
several keys, so that a new one is in use before the old one is withdrawn. A
withdrawn key is refused within 3 s; -wait confirms that every VM with a lease
has applied the withdrawal.

Examples (after -platform URL -env NAME):
  godwitlock caller-key issue -note "build farm" acme
  godwitlock caller-key issue -valid-for 720h acme
  godwitlock caller-key list acme
  godwitlock caller-key withdraw -reason leaked -wait -admin 10.0.1.1:9000,10.0.2.1:9000 acme 8f2b61cd09aa7e44`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&k.note, "note", "", "`text` stored with a new key")
			f.DurationVar(&k.validFor, "valid-for", 0, "`time` after which a new key expires; never by default")
		},
		run: func(ctx context.Context, s *session, args []string) error { return s.callerKey(ctx, k, args) },
	}
}

func (s *session) callerKey(ctx context.Context, k callerKeyFlags, args []string) error {
	verb, args, err := parseAction(args, []string{"issue", "list", "withdraw"})
	if err != nil {
		return err
	}
	names := []string{"CUSTOMER"}
	if verb == "withdraw" {
		names = append(names, "KEY-ID")
	}
	if err := expectArgs(args, names...); err != nil {
		return err
	}
	customer := topo.CustomerID(args[0])
	switch verb {
	case "issue":
		return s.issueCallerKey(ctx, customer, k)
	case "list":
		return s.listCallerKeys(ctx, customer)
	}
	id, err := callerkey.ParseID(args[1])
	if err != nil {
		return usagef("KEY-ID %q is not the id of a caller key, which has 16 hexadecimal digits", callerkey.Redact(args[1]))
	}
	return s.write(ctx, fmt.Sprintf("caller key %s withdrawn", id), func(ctx context.Context) (operate.Receipt, error) {
		return s.operator.WithdrawCallerKey(ctx, customer, id, s.reason)
	})
}

func (s *session) issueCallerKey(ctx context.Context, customer topo.CustomerID, k callerKeyFlags) error {
	opts := operate.KeyOptions{Note: k.note}
	if k.validFor < 0 {
		return usagef("-valid-for %v is negative", k.validFor)
	}
	if k.validFor > 0 {
		opts.NotAfter = time.Now().Add(k.validFor).UTC().Truncate(time.Second)
	}
	return s.performWrite(ctx, "caller key issued for "+string(customer), func(ctx context.Context) (receipt, error) {
		key, r, err := s.operator.IssueCallerKey(ctx, customer, opts, s.reason)
		out := newReceipt(r)
		if err == nil {
			out.CallerKey, out.CallerKeyID = key.Reveal(), key.ID().String()
		}
		return out, err
	})
}

func (s *session) listCallerKeys(ctx context.Context, customer topo.CustomerID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys, err := s.operator.ListCallerKeys(ctx, customer)
	if err != nil {
		return err
	}
	type row struct {
		ID          string     `json:"id"`
		State       string     `json:"state"`
		NotAfter    *time.Time `json:"not_after,omitempty"`
		WithdrawnBy string     `json:"withdrawn_by,omitempty"`
		Note        string     `json:"note,omitempty"`
	}
	list := []row{}
	rows := [][]string{{"KEY-ID", "STATE", "EXPIRES", "NOTE"}}
	for _, k := range keys {
		r := row{ID: k.ID.String(), State: callerKeyState(&k, time.Now()), WithdrawnBy: k.WithdrawnBy, Note: k.Note}
		expires := ""
		if !k.NotAfter.IsZero() {
			r.NotAfter, expires = &k.NotAfter, k.NotAfter.UTC().Format(time.RFC3339)
		}
		list = append(list, r)
		rows = append(rows, []string{r.ID, r.State, orDash(expires), orDash(k.Note)})
	}
	if s.json {
		return s.printJSON(list)
	}
	s.table(rows)
	return nil
}

func callerKeyState(k *callerkey.Record, now time.Time) string {
	switch err := k.Check(now); err {
	case nil:
		return "valid"
	case callerkey.ErrWithdrawn:
		return "withdrawn by " + k.WithdrawnBy
	case callerkey.ErrExpired:
		return "expired"
	default:
		return "not yet valid"
	}
}

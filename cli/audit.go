package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"time"

	"godwitlock.example/godwitlock/audit"
)

// defaultAuditLimit is the default of -limit, in entries.
const defaultAuditLimit = 50

func auditCommand() *command {
	f := audit.Filter{}
	var since, until, result string
	return &command{
		name: "audit", group: "state", needsPlatform: true, synopsis: "list operators' attempts, refused ones included",
		help: `
Lists each attempt with its operator, action, target, versions and result: done,
refused, lost (another operator changed the target first) or unknown. The newest
entries are last.

Examples (after -platform URL -env NAME):
  godwitlock audit -since 2h
  godwitlock audit -by ana -result refused
  godwitlock audit -target customer/ -limit 200`,
		flags: func(set *flag.FlagSet) {
			set.StringVar(&f.Who, "by", "", "only this operator's `name`")
			set.StringVar(&f.Action, "action", "", "only this `action`, such as apply or caller-key-withdraw")
			set.StringVar(&f.Target, "target", "", "only this `target`, such as document or customer/acme; a target that ends with a slash selects all below it")
			set.StringVar(&result, "result", "", "only this `result`: done, refused, lost or unknown")
			set.StringVar(&since, "since", "", "only from this `time` on: 2026-03-01T10:00:00Z, or 2h for two hours ago")
			set.StringVar(&until, "until", "", "only before this `time`")
			set.IntVar(&f.Limit, "limit", defaultAuditLimit, "only the newest `entries`; 0 for all")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args); err != nil {
				return err
			}
			var err error
			if f.Result, err = parseResult(result); err != nil {
				return err
			}
			now := time.Now()
			if f.Since, err = parseTime("since", since, now); err != nil {
				return err
			}
			if f.Until, err = parseTime("until", until, now); err != nil {
				return err
			}
			return s.listAudit(ctx, f)
		},
	}
}

func parseResult(text string) (audit.Result, error) {
	known := []string{string(audit.Done), string(audit.Refused), string(audit.Lost), string(audit.Unknown)}
	for _, k := range known {
		if text == k || text == "" {
			return audit.Result(text), nil
		}
	}
	return "", unknownName("result", text, known)
}

// parseTime parses the value of the named flag: an RFC 3339 time, or a duration
// before now. An empty text gives the zero time.
func parseTime(name, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, usagef("-%s %q is neither a time such as 2026-03-01T10:00:00Z nor a span such as 2h", name, text)
	}
	return t, nil
}

func (s *session) listAudit(ctx context.Context, f audit.Filter) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := s.operator.History(ctx, f)
	if err != nil {
		return err
	}
	if s.json {
		if entries == nil {
			entries = []audit.Entry{}
		}
		return s.printJSON(entries)
	}
	rows := [][]string{{"TIME", "WHO", "ACTION", "TARGET", "VERSION", "RESULT", "REASON", "DETAIL"}}
	for _, e := range entries {
		result := string(e.Result)
		if e.Forced {
			result += ", forced"
		}
		version := strconv.FormatUint(e.From, 10)
		if e.Result == audit.Done {
			version += fmt.Sprintf(" -> %d", e.To)
		}
		rows = append(rows, []string{
			e.Time.UTC().Format(time.RFC3339), e.Who, e.Action, e.Target, version, result, orDash(e.Reason), orDash(oneLine(e.Detail)),
		})
	}
	s.table(rows)
	return nil
}

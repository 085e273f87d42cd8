package cli

import (
	"context"
	"flag"
	"fmt"
	"path"
	"strconv"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/store"
)

func promoteCommand() *command {
	p := operate.Promotion{}
	return &command{
		name: "promote", group: groupDocument, args: "-from ENV", needsPlatform: true, writes: true,
		synopsis: "copy a proven document into another environment",
		help: `
Copies exactly one proven version of the document in force in -from into -env,
after printing what it changes there. The own part of -env (see apply -local) is
not changed. -force promotes a version that is not proven; it needs -reason and
is marked in the audit trail.

Examples:
  godwitlock promote -platform http://10.0.0.1:7000 -from trial -env production
  godwitlock promote -platform http://10.0.0.1:7000 -from trial -version 8 -env production -base 5
  godwitlock promote -platform http://10.0.0.1:7000 -from trial -env production -force -reason "incident 77"`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&p.From, "from", "", "`environment` to promote from")
			f.Uint64Var(&p.Version, "version", 0, "`version` that was proven; the one in force by default")
			f.BoolVar(&p.Force, "force", false, "promote although the version is not proven")
			defineBaseFlag(f, &p.Base)
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args); err != nil {
				return err
			}
			if p.From == "" {
				return usagef("-from is needed")
			}
			p.Reason = s.reason
			return s.promote(ctx, p)
		},
	}
}

func (s *session) promote(ctx context.Context, p operate.Promotion) error {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	source, err := s.currentDocument(readCtx, p.From)
	if err != nil {
		return errors.Annotatef(err, "read the document of %s", p.From)
	}
	if p.Version == 0 {
		p.Version = source.Version
	}
	do := func(ctx context.Context, base uint64) (operate.Receipt, error) {
		p.Base = base
		return s.operator.Promote(ctx, p)
	}
	summary := fmt.Sprintf("version %d of %s promoted to %s", p.Version, p.From, s.env)
	if p.Version != source.Version || source.Version == 0 {
		// Promote refuses the version and audits the refusal.
		return s.write(ctx, summary, func(ctx context.Context) (operate.Receipt, error) { return do(ctx, p.Base) })
	}
	file := fmt.Sprintf("%s version %d", source.Key, p.Version)
	return s.writeDocument(ctx, summary, file, source.Value, p.Base, do)
}

func rollbackCommand() *command {
	var base uint64
	var list bool
	return &command{
		name: "rollback", group: groupDocument, args: "VERSION", needsPlatform: true, writes: true,
		synopsis: "put a replaced document into force again",
		help: fmt.Sprintf(`
Prints what changes and writes the replaced VERSION as a new version. The last
%d replaced versions are kept; -list names them.

Examples:
  godwitlock rollback -platform http://10.0.0.1:7000 -env production -list
  godwitlock rollback -platform http://10.0.0.1:7000 -env production -reason "incident 78" 4`, operate.MaxHistoryVersions),
		flags: func(f *flag.FlagSet) {
			defineBaseFlag(f, &base)
			f.BoolVar(&list, "list", false, "list the replaced versions that are kept")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if list {
				return s.listHistory(ctx, args)
			}
			if err := expectArgs(args, "VERSION"); err != nil {
				return err
			}
			version, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return usagef("VERSION %q is not a number", args[0])
			}
			return s.rollback(ctx, version, base)
		},
	}
}

func (s *session) rollback(ctx context.Context, version, base uint64) error {
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replaced, err := s.operator.Store.Get(readCtx, config.HistoryKey(s.env, version))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Annotatef(err, "read version %d", version)
	}
	summary := fmt.Sprintf("rolled back to version %d", version)
	do := func(ctx context.Context, base uint64) (operate.Receipt, error) {
		return s.operator.Rollback(ctx, version, base, s.reason)
	}
	if err != nil {
		// No copy of the version is kept: Rollback refuses and audits that.
		return s.write(ctx, summary, func(ctx context.Context) (operate.Receipt, error) { return do(ctx, base) })
	}
	return s.writeDocument(ctx, summary, fmt.Sprintf("document version %d", version), replaced.Value, base, do)
}

func (s *session) listHistory(ctx context.Context, args []string) error {
	if err := expectArgs(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.operator.Store.List(ctx, config.HistoryPrefix(s.env))
	if err != nil {
		return err
	}
	type historyVersion struct {
		Version uint64 `json:"version"`
		Digest  string `json:"sha256"`
	}
	versions := []historyVersion{}
	rows := [][]string{{"VERSION", "SHA256"}}
	for _, o := range list.Objects {
		version, err := strconv.ParseUint(path.Base(o.Key), 10, 63)
		if err != nil {
			continue // package operate did not write this object
		}
		versions = append(versions, historyVersion{version, operate.Digest(o.Value)})
		rows = append(rows, []string{strconv.FormatUint(version, 10), operate.Digest(o.Value)})
	}
	if s.json {
		return s.printJSON(versions)
	}
	s.table(rows)
	return nil
}

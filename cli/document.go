package cli

import (
	"context"
	"flag"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/store"
)

const groupDocument = "configuration document"

// defineBaseFlag defines -base, the version on which the operator's change is
// based. Without the flag, base is operate.AnyBase.
func defineBaseFlag(f *flag.FlagSet, base *uint64) {
	*base = operate.AnyBase
	f.Func("base", "`version` that the change is based on; refused with exit code 3 when another one is in force", func(s string) (err error) {
		*base, err = strconv.ParseUint(s, 10, 63)
		return err
	})
}

func checkCommand() *command {
	local := ""
	return &command{
		name: "check", group: groupDocument, args: "FILE", synopsis: "check a document and print all its errors",
		help: `
Prints every error with file, line, column, field, accepted values and the
nearest known name. Contacts nothing and changes nothing.

Examples:
  godwitlock check production.toml
  godwitlock check -local trial-local.toml document.toml`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&local, "local", "", "check together with an environment's own part in this `file`")
		},
		run: func(_ context.Context, s *session, args []string) error { return s.checkFile(args, local) },
	}
}

func (s *session) checkFile(args []string, local string) error {
	if err := expectArgs(args, "FILE"); err != nil {
		return err
	}
	err := checkDocument(args[0], local)
	var problems config.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if s.json {
		if err := s.printJSON(struct {
			Valid    bool            `json:"valid"`
			Problems config.Problems `json:"problems"`
		}{err == nil, problems}); err != nil {
			return err
		}
	} else if err == nil {
		s.printf("%s is valid\n", args[0])
	}
	return err
}

func checkDocument(file, localFile string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, err := config.ParseDocument(file, data)
	if err != nil || localFile == "" {
		return err
	}
	if data, err = os.ReadFile(localFile); err != nil {
		return err
	}
	local, err := config.ParseLocal(localFile, data)
	if err == nil {
		_, err = config.Merge(file, doc, local)
	}
	return err
}

func diffCommand() *command {
	return &command{
		name: "diff", group: groupDocument, args: "FILE", needsPlatform: true,
		synopsis: "print what a document would change",
		help: `
Compares FILE with what is in force and prints each change and an estimate of
the slices that would move. Changes nothing. The printed version can be passed
to apply as -base.

Example:
  godwitlock diff -platform http://10.0.0.1:7000 -env trial document.toml`,
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args, "FILE"); err != nil {
				return err
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			changes, base, err := s.operator.Diff(ctx, args[0], data)
			if err != nil {
				return err
			}
			if s.json {
				return s.printJSON(struct {
					Version uint64          `json:"version"`
					Changes *config.Changes `json:"changes"`
				}{base, changes})
			}
			s.printChanges(changes, base)
			return nil
		},
	}
}

func (s *session) printChanges(changes *config.Changes, base uint64) {
	s.printf("changes to %s, document version %d:\n", s.env, base)
	if changes.Empty() {
		s.printf("  none in effect\n")
	}
	for line := range strings.Lines(changes.String()) {
		s.printf("  %s", line)
	}
}

func applyCommand() *command {
	var base uint64
	var local bool
	return &command{
		name: "apply", group: groupDocument, args: "FILE", needsPlatform: true, writes: true,
		synopsis: "put a document into force",
		help: `
Prints what FILE changes and writes it by one conditional update. A faulty
document is refused with all its errors. Production normally gets its document
by promote instead.

Examples:
  godwitlock apply -platform http://10.0.0.1:7000 -env trial -reason "more slots" document.toml
  godwitlock apply -platform http://10.0.0.1:7000 -env trial -base 7 document.toml
  godwitlock apply -platform http://10.0.0.1:7000 -env trial -local trial-local.toml`,
		flags: func(f *flag.FlagSet) {
			defineBaseFlag(f, &base)
			f.BoolVar(&local, "local", false, "FILE is the environment's own part, which promote never touches")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args, "FILE"); err != nil {
				return err
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if local {
				return s.write(ctx, "the environment's own part is written", func(ctx context.Context) (operate.Receipt, error) {
					return s.operator.ApplyLocal(ctx, args[0], data, base, s.reason)
				})
			}
			return s.writeDocument(ctx, "document applied", args[0], data, base, func(ctx context.Context, base uint64) (operate.Receipt, error) {
				return s.operator.Apply(ctx, args[0], data, base, s.reason)
			})
		},
	}
}

// writeDocument prints the changes that a document makes and writes it on
// condition that the compared version is still current; -base overrides that
// version. If the comparison fails, the action still runs: it returns the
// same error, and its refusal is audited.
func (s *session) writeDocument(ctx context.Context, summary, file string, data []byte, base uint64, do func(context.Context, uint64) (operate.Receipt, error)) error {
	return s.performWrite(ctx, summary, func(ctx context.Context) (receipt, error) {
		changes, comparedVersion, err := s.operator.Diff(ctx, file, data)
		if err == nil && base == operate.AnyBase {
			base = comparedVersion
		}
		if err == nil && !s.json && base == comparedVersion {
			s.printChanges(changes, comparedVersion)
		}
		r, err := do(ctx, base)
		out := newReceipt(r)
		out.Changes = changes
		return out, err
	})
}

func proveCommand() *command {
	var version uint64
	var failed bool
	var evidence, evidenceFile string
	return &command{
		name: "prove", group: groupDocument, args: "-version N -evidence TEXT", needsPlatform: true, writes: true,
		synopsis: "record evidence that a version of a document works",
		help: `
The version must be the one in force. Promote accepts only proven versions. A
later proof of the same version replaces the earlier one.

Examples:
  godwitlock prove -platform http://10.0.0.1:7000 -env trial -version 8 -evidence "load run 341 passed"
  godwitlock prove -platform http://10.0.0.1:7000 -env trial -version 8 -failed -evidence "p99 was 31 ms"`,
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&version, "version", 0, "`version` of the document that was tested")
			f.BoolVar(&failed, "failed", false, "the evidence shows that the version does not work")
			f.StringVar(&evidence, "evidence", "", "`text` of the evidence")
			f.StringVar(&evidenceFile, "evidence-file", "", "`file` with the evidence, at most 64 KiB")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args); err != nil {
				return err
			}
			if version == 0 || (evidence == "") == (evidenceFile == "") {
				return usagef("-version and one of -evidence and -evidence-file are needed")
			}
			if evidenceFile != "" {
				data, err := os.ReadFile(evidenceFile)
				if err != nil {
					return err
				}
				evidence = string(data)
			}
			return s.write(ctx, "proof recorded", func(ctx context.Context) (operate.Receipt, error) {
				return s.operator.Prove(ctx, version, !failed, evidence)
			})
		},
	}
}

// currentDocument reads an environment's document. If there is none, it returns
// an object with version 0.
func (s *session) currentDocument(ctx context.Context, env string) (store.Object, error) {
	obj, err := s.operator.Store.Get(ctx, config.DocumentKey(env))
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{}, nil
	}
	return obj, err
}

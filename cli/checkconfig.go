package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/configcheck"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/platform"
	"godwitlock.example/godwitlock/routemap"
)

func checkConfigCommand() *command {
	var inForce string
	var strict bool
	return &command{
		name: "check-config", group: groupDocument, args: "FILE",
		synopsis: "check a configuration of the users' platform before it is sent",
		help: `
Reads a configuration in JSON as it would be written to config/main, or the
object with that content in its field spec. Prints its errors, entries that can
never take effect, and limits that contradict each other. With -in-force, it
also prints what differs from that configuration, and checks the version.
Contacts nothing and changes nothing. The exit code is 3 if there are errors,
with -strict also if there are warnings.

Examples:
  godwitlock check-config next.json
  godwitlock check-config -strict -in-force main.json next.json`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&inForce, "in-force", "", "compare with the configuration in this `file`")
			f.BoolVar(&strict, "strict", false, "treat warnings as errors")
		},
		run: func(_ context.Context, s *session, args []string) error {
			if err := expectArgs(args, "FILE"); err != nil {
				return err
			}
			return s.checkConfig(args[0], inForce, strict)
		},
	}
}

// configReport is the result of check-config.
type configReport struct {
	Valid    bool                  `json:"valid"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes is absent without -in-force.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func (s *session) checkConfig(file, inForceFile string, strict bool) error {
	next, err := readConfig(file)
	if err != nil {
		return err
	}
	report := configReport{Findings: configcheck.Check(next)}
	if inForceFile != "" {
		inForce, err := readConfig(inForceFile)
		if err != nil {
			return err
		}
		report.Findings = append(configcheck.CheckVersion(inForce, next), report.Findings...)
		report.Changes = configcheck.Diff(inForce, next)
	}
	faults := 0
	for _, f := range report.Findings {
		if strict || f.Severity == configcheck.Error {
			faults++
		}
	}
	report.Valid = faults == 0
	if err := s.printConfigReport(report, inForceFile != ""); err != nil {
		return err
	}
	if faults > 0 {
		return errors.Annotatef(operate.ErrInvalid, "%s: %s", file, count(faults, "fault"))
	}
	return nil
}

func (s *session) printConfigReport(r configReport, compared bool) error {
	if s.json {
		return s.printJSON(r)
	}
	for _, f := range r.Findings {
		s.printf("%s: %s: %s\n", f.Severity, f.Entry, f.Message)
	}
	if len(r.Findings) == 0 {
		s.printf("no errors and no warnings\n")
	}
	if !compared {
		return nil
	}
	s.printf("changes to the configuration in force: %d\n", len(r.Changes))
	for _, c := range r.Changes {
		s.printf("  %s: %s\n", c.Entry, c.What)
	}
	return nil
}

// readConfig reads a configuration, or the stored object that holds it.
func readConfig(file string) (routemap.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return routemap.Config{}, err
	}
	cfg, err := platform.DecodeConfigFile(data)
	if err != nil {
		return routemap.Config{}, fmt.Errorf("%w: %s: %s", operate.ErrInvalid, file, err)
	}
	return cfg, nil
}

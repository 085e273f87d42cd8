package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/operate"
)

// The exit codes (docs/reference/commands.md).
const (
	// exitRefused: nothing was changed, because of what was asked for or
	// because another operator was faster.
	exitRefused = subcommands.ExitStatus(3)
	// exitUnknown: the outcome is unknown, or the change is written and not
	// yet in force.
	exitUnknown = subcommands.ExitStatus(4)
)

// usageError is a wrong use of a command.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// notInForceError says that a change is written, but not all VMs have applied
// it.
type notInForceError struct{ detail string }

// Error implements error.
func (e *notInForceError) Error() string { return "written, not yet in force: " + e.detail }

// exitStatus returns the exit code of an error.
func exitStatus(err error) subcommands.ExitStatus {
	var usage *usageError
	var notInForce *notInForceError
	var unresolved *operate.UnresolvedError
	var conflict *operate.ConflictError
	var problems config.Problems
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &notInForce), errors.As(err, &unresolved):
		return exitUnknown
	case errors.As(err, &conflict), errors.As(err, &problems):
		return exitRefused
	}
	for _, reason := range []error{
		operate.ErrNotProven, operate.ErrNoChange, operate.ErrUnknownName, operate.ErrInvalid, operate.ErrUnsafe,
	} {
		if errors.Is(err, reason) {
			return exitRefused
		}
	}
	return subcommands.ExitFailure
}

// report prints an error and returns its exit code. A faulty document has one
// line per fault, everything else one line in all.
func report(stderr io.Writer, name string, err error) subcommands.ExitStatus {
	var problems config.Problems
	var usage *usageError
	switch {
	case err == nil:
	case errors.As(err, &problems):
		_, _ = fmt.Fprintf(stderr, "godwitlock %s: %s, nothing was changed\n", name, count(len(problems), "error"))
		for _, p := range problems {
			_, _ = fmt.Fprintln(stderr, p.Error())
		}
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "godwitlock %s: %s (see godwitlock help %s)\n", name, err, name)
	default:
		message := err.Error()
		if errors.Is(err, context.DeadlineExceeded) {
			message += fmt.Sprintf(" (no answer within %v)", callTimeout)
		}
		_, _ = fmt.Fprintf(stderr, "godwitlock %s: %s\n", name, strings.Join(strings.Fields(message), " "))
	}
	return exitStatus(err)
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// unknownName is the usage error of a name that is not in a fixed list.
func unknownName(kind, name string, known []string) error {
	if near := tomlcheck.Nearest(name, known); near != "" {
		return usagef("unknown %s %q (did you mean %q?)", kind, name, near)
	}
	return usagef("unknown %s %q (known: %s)", kind, name, strings.Join(known, ", "))
}

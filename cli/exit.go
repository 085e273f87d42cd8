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

// Exit codes beyond those of package subcommands (docs/reference/commands.md).
const (
	// exitRefused means that nothing was changed, because the request was
	// refused or because another operator changed the object first.
	exitRefused = subcommands.ExitStatus(3)
	// exitUnknown means that the outcome is unknown, or that the change was
	// written but is not yet applied by all VMs.
	exitUnknown = subcommands.ExitStatus(4)
)

// usageError reports invalid flags or arguments.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// notInForceError reports that a change was written but that not all VMs with a
// lease are known to have applied it.
type notInForceError struct{ detail string }

// Error implements error.
func (e *notInForceError) Error() string { return "written, not yet in force: " + e.detail }

// exitStatus maps an error to the exit code of the command.
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

// report prints an error and returns its exit code. The errors of an invalid
// document are printed one a line, any other error in a single line.
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

// unknownName returns the usage error for a name that is not among the known
// ones. It suggests the nearest known name, or else lists all of them.
func unknownName(kind, name string, known []string) error {
	if near := tomlcheck.Nearest(name, known); near != "" {
		return usagef("unknown %s %q (did you mean %q?)", kind, name, near)
	}
	return usagef("unknown %s %q (known: %s)", kind, name, strings.Join(known, ", "))
}

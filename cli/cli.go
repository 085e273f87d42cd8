// Package cli implements the operators' commands and the main function of the
// daemon. Commands print human-readable tables, or JSON with -json. Each error is
// reported in one line on standard error, and the exit status gives the kind of
// outcome.
package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

// Main parses args, runs the operators' command that they name and returns the
// exit code. SIGINT and SIGTERM cancel the command. The exit codes are listed in
// docs/reference/commands.md.
func Main(args []string, stdout, stderr io.Writer) int {
	top := flag.NewFlagSet("godwitlock", flag.ContinueOnError)
	cmdr := subcommands.NewCommander(top, "godwitlock")
	cmdr.Output, cmdr.Error = stdout, stderr
	cmdr.Register(cmdr.HelpCommand(), "")
	cmdr.Register(cmdr.CommandsCommand(), "")
	quick := &quickstart{stdout: stdout, stderr: stderr}
	cmdr.Register(quick, "first steps")
	cmdr.Register(&benchCommand{stdout: stdout, stderr: stderr}, "measurements")
	cmdr.Register(&loadCommand{stdout: stdout, stderr: stderr}, "measurements")
	list := commands(stdout, stderr)
	for _, c := range list {
		cmdr.Register(c, c.group)
	}
	setTopLevelUsage(top, cmdr, stdout, stderr)
	if err := top.Parse(args); err != nil {
		return parseErrorExitCode(err)
	}
	if err := checkCommandName(cmdr, top.Arg(0)); err != nil {
		_, _ = fmt.Fprintf(stderr, "godwitlock: %s (see godwitlock help)\n", err)
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := cmdr.Execute(ctx)
	helpShown := quick.helpShown
	for _, c := range list {
		helpShown = helpShown || c.helpShown
	}
	if helpShown {
		return int(subcommands.ExitSuccess)
	}
	return int(status)
}

// setTopLevelUsage makes the top-level flag set report an invalid flag before the
// command's name in one line instead of with the whole help text.
func setTopLevelUsage(top *flag.FlagSet, cmdr *subcommands.Commander, stdout, stderr io.Writer) {
	flagErrors := &bytes.Buffer{}
	top.SetOutput(flagErrors)
	top.Usage = func() {
		if flagErrors.Len() > 0 {
			_, _ = fmt.Fprintf(stderr, "godwitlock: %s (see godwitlock help)\n", strings.TrimSpace(flagErrors.String()))
			return
		}
		cmdr.Explain(stdout)
	}
}

func parseErrorExitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return int(subcommands.ExitSuccess)
	}
	return int(subcommands.ExitUsageError)
}

// checkCommandName returns a usage error if no command has this name. Without
// this check, package subcommands would print the whole help text.
func checkCommandName(cmdr *subcommands.Commander, name string) error {
	var known []string
	found := false
	cmdr.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
		known = append(known, c.Name())
		found = found || c.Name() == name
	})
	switch {
	case found:
		return nil
	case name == "":
		return usagef("a command is needed (known: %s)", strings.Join(known, ", "))
	}
	return unknownName("command", name, known)
}

func commands(stdout, stderr io.Writer) []*command {
	list := []*command{
		checkCommand(), checkConfigCommand(), diffCommand(), applyCommand(), proveCommand(), promoteCommand(), rollbackCommand(),
		statusCommand(), ownerCommand(), dataCentreCommand(), drainCommand(), auditCommand(),
		customerCommand(), callerKeyCommand(), boundCommand(),
	}
	for _, c := range list {
		c.stdout, c.stderr = stdout, stderr
	}
	return list
}

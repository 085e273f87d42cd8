package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// command is one operators' command. It implements subcommands.Command.
type command struct {
	name, group string
	// args describes the arguments after the flags.
	args     string
	synopsis string
	// help is the text between the first line and the list of flags.
	help string
	// flags adds the command's own flags to the common ones.
	flags func(*flag.FlagSet)
	// writes says that the command changes the environment; needsPlatform
	// that it talks to the platform.
	writes, needsPlatform bool
	run                   func(ctx context.Context, s *session, args []string) error

	stdout, stderr io.Writer
	opts           options
	helpShown      bool
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags] %s\n\n%s\n\nFlags:\n", c.name, c.args, strings.TrimSpace(c.help))
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	c.opts.defineFlags(f, c.needsPlatform, c.writes)
	if c.flags != nil {
		c.flags(f)
	}
	setOneLineUsage(f, c.name, c.stderr, func() {
		c.helpShown = true
		_, _ = io.WriteString(c.stdout, c.Usage())
		f.SetOutput(c.stdout)
		f.PrintDefaults()
	})
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseInterleavedArgs(f)
	if err != nil {
		return subcommands.ExitUsageError // printed by the flag set
	}
	s := &session{command: c, options: c.opts}
	if err = s.prepare(); err == nil {
		err = c.run(ctx, s, args)
	}
	return report(c.stderr, c.name, err)
}

// parseInterleavedArgs returns the arguments; flags may also stand between and after
// them.
func parseInterleavedArgs(f *flag.FlagSet) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		rest := f.Args()
		args = append(args, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, err
		}
	}
	return args, nil
}

// setOneLineUsage makes a flag set report a wrong flag in one line instead of
// with the whole help text. Help is called when help was asked for.
func setOneLineUsage(f *flag.FlagSet, name string, stderr io.Writer, help func()) {
	if f.ErrorHandling() != flag.ContinueOnError {
		return // a set that the help command only prints
	}
	failed := &bytes.Buffer{}
	f.SetOutput(failed)
	f.Usage = func() {
		if failed.Len() == 0 {
			help()
			return
		}
		_, _ = fmt.Fprintf(stderr, "godwitlock %s: %s (see godwitlock help %s)\n", name, strings.TrimSpace(failed.String()), name)
		failed.Reset()
	}
}

// printf writes to standard output.
func (c *command) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.stdout, format, args...) }

// progress writes to standard error.
func (c *command) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stderr, format+"\n", args...)
}

// printJSON writes a value for machines.
func (c *command) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes rows in aligned columns; the first row is the header.
func (c *command) table(rows [][]string) {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

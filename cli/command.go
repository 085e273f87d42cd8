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

// command is an operators' command. It implements subcommands.Command.
type command struct {
	name, group string
	// args describes the positional arguments for the usage line.
	args     string
	synopsis string
	// help is the text between the usage line and the list of flags.
	help string
	// flags defines the command's own flags in addition to the common ones.
	flags func(*flag.FlagSet)
	// writes is set if the command changes the environment, needsPlatform if
	// it calls the platform.
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
		return subcommands.ExitUsageError // the flag set has printed the error
	}
	s := &session{command: c, options: c.opts}
	if err = s.prepare(); err == nil {
		err = c.run(ctx, s, args)
	}
	return report(c.stderr, c.name, err)
}

// parseInterleavedArgs returns the positional arguments. It also parses flags
// between and after them, at which package flag would stop.
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

// setOneLineUsage makes a flag set report an invalid flag in one line instead of
// with the whole help text. It calls help for -h and -help.
func setOneLineUsage(f *flag.FlagSet, name string, stderr io.Writer, help func()) {
	if f.ErrorHandling() != flag.ContinueOnError {
		return // the help command creates this set only to print its flags
	}
	flagErrors := &bytes.Buffer{}
	f.SetOutput(flagErrors)
	f.Usage = func() {
		if flagErrors.Len() == 0 {
			help()
			return
		}
		_, _ = fmt.Fprintf(stderr, "godwitlock %s: %s (see godwitlock help %s)\n", name, strings.TrimSpace(flagErrors.String()), name)
		flagErrors.Reset()
	}
}

func (c *command) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.stdout, format, args...) }

// progress writes a line to standard error, so that standard output holds only
// the result.
func (c *command) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stderr, format+"\n", args...)
}

// printJSON writes a value to standard output as indented JSON.
func (c *command) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes rows to standard output in aligned columns. The first row is the
// header.
func (c *command) table(rows [][]string) {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

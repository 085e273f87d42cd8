package cli

import (
	"flag"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against commands and flags that are missing in the reference page, and
// against ones in the page that do not exist.
func TestReferenceListsCommands(t *testing.T) {
	page, err := os.ReadFile("../docs/reference/commands.md")
	require.NoError(t, err)
	common := []string{"json"}
	for _, m := range regexp.MustCompile("(?m)^\\| `-([a-z-]+)").FindAllStringSubmatch(string(page), -1) {
		common = append(common, m[1])
	}
	_, table, found := strings.Cut(string(page), "\n## Commands\n")
	require.True(t, found)
	listed := map[string][]string{}
	args := map[string]string{}
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.ReplaceAll(line, `\|`, "/"), "|")
		if len(cells) < 5 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		name := strings.Trim(cells[1], " `")
		args[name] = strings.Trim(cells[2], " `")
		listed[name] = []string{}
		for _, m := range regexp.MustCompile("`-([a-z-]+)`").FindAllStringSubmatch(cells[3], -1) {
			listed[name] = append(listed[name], m[1])
		}
	}
	defined := map[string][]string{"quickstart": flagsOf((&quickstart{}).SetFlags, nil)}
	for _, c := range commands(io.Discard, io.Discard) {
		defined[c.name] = flagsOf(c.SetFlags, common)
		require.Equal(t, strings.ReplaceAll(c.args, "|", "/"), args[c.name], c.name)
	}
	for name := range listed {
		slices.Sort(listed[name])
	}
	require.Equal(t, defined, listed)
}

// flagsOf returns the names of the flags that set defines, without the excepted
// ones.
func flagsOf(set func(*flag.FlagSet), except []string) []string {
	f := flag.NewFlagSet("", flag.PanicOnError)
	set(f)
	names := []string{}
	f.VisitAll(func(fl *flag.Flag) {
		if !slices.Contains(except, fl.Name) {
			names = append(names, fl.Name)
		}
	})
	return names
}

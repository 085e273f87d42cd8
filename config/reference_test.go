package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var fieldRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$")

// documentedDefaults returns the fields in a section of the reference page with
// their defaults.
func documentedDefaults(t *testing.T, section string) map[string]string {
	page, err := os.ReadFile("../docs/reference/configuration.md")
	require.NoError(t, err)
	_, text, found := strings.Cut(string(page), "\n## "+section+"\n")
	require.True(t, found, section)
	text, _, _ = strings.Cut(text, "\n## ")
	out := map[string]string{}
	for _, m := range fieldRow.FindAllStringSubmatch(text, -1) {
		require.NotContains(t, out, m[1], "documented twice")
		out[m[1]] = strings.Trim(m[2], "`")
	}
	return out
}

// leafFields adds the paths and types of all fields below t that are not tables
// to out.
func leafFields(prefix, tag string, t reflect.Type, out map[string]reflect.Type) {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.String() == "time.Time" {
		out[strings.TrimSuffix(prefix, ".")] = t
		return
	}
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get(tag), ","); name != "" && name != "-" {
			leafFields(prefix+name+".", tag, t.Field(i).Type, out)
		}
	}
}

func requireSameFields(t *testing.T, section string, fields map[string]reflect.Type) {
	page := documentedDefaults(t, section)
	var inCode, inPage []string
	for f := range fields {
		inCode = append(inCode, f)
	}
	for f := range page {
		inPage = append(inPage, f)
	}
	slices.Sort(inCode)
	slices.Sort(inPage)
	require.Equal(t, inCode, inPage, section)
	for f, typ := range fields {
		require.Equal(t, typ.Kind() == reflect.Bool, page[f] == "false", "%s: booleans default to false", f)
	}
}

// Guards against a reference page that lacks a field, lists an unknown one, or
// states a default that differs from the code.
func TestReference(t *testing.T) {
	fields := map[string]reflect.Type{}
	leafFields("", "toml", reflect.TypeFor[Document](), fields)
	requireSameFields(t, "Document", fields)
	page := documentedDefaults(t, "Document")
	var l Limits
	l.SetDefaults()
	for _, f := range tomlFields(l) {
		require.Equal(t, fmt.Sprint(f.value), page["limits."+f.name], f.name)
	}
	require.Equal(t, fmt.Sprint(DefaultSlices), page["service.slices"])
	require.Equal(t, string(DefaultCell), page["service.cell"])

	fields = map[string]reflect.Type{}
	leafFields("", "toml", reflect.TypeFor[Local](), fields)
	requireSameFields(t, "Own part", fields)

	fields = map[string]reflect.Type{}
	leafFields("customer.", "json", reflect.TypeFor[Customer](), fields)
	leafFields("datacentre.", "json", reflect.TypeFor[DataCentreState](), fields)
	leafFields("draining.", "json", reflect.TypeFor[Draining](), fields)
	requireSameFields(t, "Objects", fields)
}

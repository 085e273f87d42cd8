package tomlcheck

import (
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

type item struct {
	Name  string `toml:"name"`
	Count int    `toml:"count"`
}

func (i *item) SetDefaults() { i.Count = 7 }

type sample struct {
	On    bool     `toml:"on"`
	Ratio float64  `toml:"ratio"`
	Wait  Duration `toml:"wait"`
	Size  ByteSize `toml:"size"`
	Maybe *int     `toml:"maybe"`
	Items []item   `toml:"item"`
	Tags  []string `toml:"tags"`
	Sub   item     `toml:"sub"`
}

// Guards against wrong values from one of the notations that TOML has for the same
// value, and against wrong positions of fields.
func TestDecode(t *testing.T) {
	var s sample
	c := Decode("f", []byte("on = true\nratio = 1_0.5\nwait = '1.5s'\nsize = '2 MiB'\nmaybe = 0x1F\ntags = ['a', \"\"\"b\"\"\"]\nsub.name = 'dotted'\n[[item]]\nname = \"x\"\n[[item]]\ncount = +1\n"), &s)
	require.NoError(t, c.Err())
	maybe := 31
	require.Equal(t, sample{true, 10.5, Duration(1500 * time.Millisecond), 2 << 20, &maybe, []item{{"x", 7}, {"", 1}}, []string{"a", "b"}, item{"dotted", 0}}, s)
	require.Equal(t, Position{"f", 11, 9}, c.Position("item[1].count"))
	require.Equal(t, Position{"f", 10, 3}, c.Position("item[1].missing"), "a missing field has the position of its closest parent")
	require.True(t, c.Has("item[1].count"))
	require.False(t, c.Has("item[0].count"))
}

// Guards against values of a wrong type that are accepted, and against messages
// that do not say which values are.
func TestWrongTypes(t *testing.T) {
	for text, want := range map[string]string{
		"on = 1":                 "f:1:6: on: must be true or false",
		"ratio = 'x'":            "f:1:9: ratio: must be a number",
		"ratio = inf":            "f:1:9: ratio: inf is not a finite number",
		"wait = true":            "f:1:8: wait: must be a string",
		"tags = 'a'":             "f:1:8: tags: must be an array",
		"tags = [1]":             "f:1:9: tags[0]: must be a string in quotes",
		"on = [true]":            "f:1:1: on: must be a single value",
		"size = -1":              `f:1:8: size: "-1" is not a size`,
		"size = '9999999999GiB'": `is not a size`,
		"sub = { nam = 1 }":      `f:1:9: sub.nam: unknown field (did you mean "name"?)`,
		"sub.name.x = 1":         "f:1:5: sub.name: must be a single value",
		"zzzzzz = 1":             "f:1:1: zzzzzz: unknown field",
	} {
		require.ErrorContains(t, Decode("f", []byte(text), &sample{}).Err(), want, text)
	}
}

// Guards against sizes whose text form decodes to another value.
func TestByteSizeText(t *testing.T) {
	for _, s := range []ByteSize{0, 1, 1023, 1 << 10, 3 << 20, 5 << 30, 1<<20 + 1} {
		var back ByteSize
		require.NoError(t, back.UnmarshalText([]byte(s.String())))
		require.Equal(t, s, back)
	}
}

// Guards against a difference from the decoder of go-toml about which documents
// are valid, above all about keys and tables that are defined twice. Here go-toml
// decodes into an empty struct, which checks the structure but not the values.
func FuzzTree(f *testing.F) {
	for _, text := range []string{
		"a.b = 1\n[a]\n", "[a.b]\n[a]\nb.c = 1\n", "[a]\n[a]\n", "[[a]]\n[a]\n", "a = [1]\n[[a]]\n", "[a]\nb.c = 1\n[a.b]\n", "[a]\nb.c = 1\n[a.b.d]\n",
		"a = { b.c = 1, b.d = 2 }\n[a.b]\n", "a = {}\na.b = 1\n", "[[a]]\n[a.b]\n[[a]]\n[a.b]\n", "[a.b]\n[a]\n[a]\n", "x = [{a=1},{a=2}]\n", "x = {a=1,a=2}\n", "[[a.b]]\n[a]\nc = 1\n",
		"a = 1\n[a.b]\n", "[a]\n[[a.b]]\n[a.b.c]\n", "\"\" = 1\n'' = 2\n", "[[a]]\nb.c = 1\n[[a]]\nb.c = 1\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s struct{}
		goTomlErr := toml.Unmarshal(data, &s)
		treeErr := parseTree("f", data).problems.Err()
		require.Equal(t, goTomlErr == nil, treeErr == nil, "go-toml: %v\ntomlcheck: %v", goTomlErr, treeErr)
	})
}

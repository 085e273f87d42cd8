package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

const validDocument = `
[[data_centre]]
name = "dc-a"
[[service]]
name = "ledger"
kind = "keyed"
server = [{ id = "s1", data_centre = "dc-a", addr = "127.0.0.1:21001", slots = 3, max_conns = 16 }]
[[service]]
name = "images"
kind = "pooled"
server = [{ id = "s2", data_centre = "dc-a", addr = "127.0.0.1:21002", slots = 3, max_conns = 16 }]
[[route]]
path = "/ledger/"
methods = ["GET"]
service = "ledger"
key_segment = 2
`

func readExample(t testing.TB, name string) *Document {
	data, err := os.ReadFile(filepath.Join("..", "examples", name))
	require.NoError(t, err)
	doc, err := ParseDocument(name, data)
	require.NoError(t, err)
	doc, err = Merge(name, doc, nil)
	require.NoError(t, err)
	return doc
}

// Guards against example documents that are no longer valid or whose numbers of
// data centres, servers and slots differ from docs/design.md, section 1.3.
func TestExamples(t *testing.T) {
	for _, e := range []struct {
		file                    string
		dataCentres             int
		keyed, slots, conns     int
		pooled, routes          int
		firstAddr, checksGrants string
	}{
		{"lumenfolha.toml", 4, 35, 3, 130, 8, 3, "10.1.1.10:8080", "true"},
		{"sutokatha.toml", 3, 30, 6, 120, 6, 5, "10.1.1.10:8080", "false"},
		{"quickstart.toml", 3, 8, 3, 16, 4, 3, "127.0.0.1:21001", "true"},
	} {
		doc := readExample(t, e.file)
		require.Len(t, doc.DataCentres, e.dataCentres, e.file)
		keyed, pooled := doc.Services[0], doc.Services[1]
		require.Equal(t, topo.Keyed, keyed.Kind)
		require.Equal(t, DefaultSlices, keyed.Slices)
		require.Equal(t, e.checksGrants == "true", keyed.ChecksGrants)
		require.Len(t, keyed.Servers, e.keyed, e.file)
		require.Len(t, pooled.Servers, e.pooled, e.file)
		require.Equal(t, e.firstAddr, keyed.Servers[0].Addr)
		for _, s := range keyed.Servers {
			require.Equal(t, []int{e.slots, e.conns}, []int{s.Slots, s.MaxConns}, s.ID)
			require.Equal(t, keyed.Name, s.Service)
		}
		require.Len(t, doc.Routes, e.routes, e.file)
	}
}

// Guards against defaults that are not set, and against defaults of routes that
// ignore the limits of the document.
func TestDefaults(t *testing.T) {
	doc, err := ParseDocument("d", []byte("[limits]\ntimeout = \"90s\"\nmax_timeout = \"100s\"\n"+validDocument))
	require.NoError(t, err)
	require.Equal(t, DefaultMaxHeaderBytes, doc.Limits.MaxHeaderBytes)
	require.Equal(t, DefaultSlices, doc.Services[0].Slices)
	require.Zero(t, doc.Services[1].Slices)
	require.Equal(t, DefaultCell, doc.Services[0].Cell)
	r := doc.Routes[0]
	require.Equal(t, []any{DefaultMaxBody, Duration(90 * time.Second), Duration(100 * time.Second)}, []any{r.MaxBody, r.Timeout, r.MaxTimeout})
}

// Guards against invalid documents that are accepted, and against problems that
// are reported at the wrong position or without a suggestion for a misspelt
// name. Each case covers one kind of problem.
func TestProblems(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[limit]\n", `f:1:2: limit: unknown field (did you mean "limits"?)`},
		{"[limits]\nqueue_lenght = 3\n", `f:2:1: limits.queue_lenght: unknown field (did you mean "queue_length"?)`},
		{"[limits]\nqueue_length = 3\nqueue_length = 4\n", `f:3:1: queue_length: defined twice`},
		{"[limits]\n[limits]\n", `f:2:2: limits: defined twice`},
		{"[limits]\nqueue_length = \"3\"\n", `f:2:16: limits.queue_length: must be a whole number`},
		{"[limits]\nqueue_length = 0\n", `f:2:16: limits.queue_length: is 0; must be from 1 to 100000`},
		{"[limits]\nqueue_length = 99999999999999999999\n", `f:2:16: limits.queue_length: 99999999999999999999 is out of range`},
		{"[limits]\nqueue_wait = \"fast\"\n", `f:2:14: limits.queue_wait: "fast" is not a duration such as "500ms" or "30s"`},
		{"[limits]\nqueue_wait = \"-1s\"\n", `f:2:14: limits.queue_wait: is -1s; must be from 1ms to 1h0m0s`},
		{"[limits]\nmax_body = \"1TB\"\n", `f:2:12: limits.max_body: "1TB" is not a size such as 65536, "64KiB" or "1GiB"`},
		{"[limits]\ntimeout = \"90s\"\n", `f:2:11: limits.timeout: is 1m30s, longer than limits.max_timeout, 1m0s`},
		{"limits = 3\n", `f:1:10: limits: must be a table`},
		{"service = 3\n", `f:1:11: service: must be an array`},
		{"[limits\n", `f:1:8: not valid TOML: expected ']' to close table name; the rest of the document was not checked`},
		{"[[data_centre]]\nname = \"A b\"\n", `f:2:8: data_centre[0].name: "A b" is not a name`},
		{"[[data_centre]]\nname = \"a\"\n[[data_centre]]\nname = \"a\"\n", `f:4:8: data_centre[1].name: "a" is already the name in data_centre[0].name`},
		{"[[service]]\nname = \"s\"\nkind = \"keyd\"\n", `f:3:8: service[0].kind: service kind "keyd" is neither "keyed" nor "pooled" (did you mean "keyed"?)`},
		{"[[service]]\nname = \"s\"\nkind = \"keyed\"\nslices = 1000\n", `f:4:10: service[0].slices: is 1000; must be a power of two from 1 to 65536`},
		{"[[service]]\nname = \"s\"\nkind = \"pooled\"\nslices = 16\n", `f:4:10: service[0].slices: only a keyed service has slices`},
		{documentWithServer(`data_centre = "dc-b"`), `f:6:15: service[0].server[0].data_centre: no data_centre is named "dc-b" (did you mean "dc-a"?)`},
		{documentWithServer(`slots = 0`), `f:6:9: service[0].server[0].slots: is 0; must be from 1 to 10000`},
		{documentWithServer(`max_conns = 2`), `f:6:13: service[0].server[0].max_conns: is 2, fewer than the 3 slots`},
		{documentWithServer(`addr = "host:80"`), `f:6:8: service[0].server[0].addr: "host:80" is not an IP address and port`},
		{documentWithServer(`addr = "1.2.3.4:0"`), `f:6:8: service[0].server[0].addr: "1.2.3.4:0" has no port from 1 to 65535`},
		{documentWithRoute(`service = "ledgr"`), `f:20:11: route[1].service: no service is named "ledgr" (did you mean "ledger"?)`},
		{documentWithRoute(`methods = ["get"]`), `f:20:12: route[1].methods[0]: "get" is not a method; use GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS (did you mean "GET"?)`},
		{documentWithRoute(`methods = []`), `f:20:1: route[1].methods: must list at least one method`},
		{documentWithRoute(`path = "/ledger/"`), `f:18:12: route[1].methods[0]: GET /ledger/ is already a route in route[0].methods[0]`},
		{documentWithRoute(`path = "x"`), `f:20:8: route[1].path: "x" must begin with a slash`},
		{documentWithRoute(`path = "/a/../b"`), `f:20:8: route[1].path: "/a/../b" must have no empty, "." or ".." segments`},
		{documentWithRoute(`path = "/a?b"`), `f:20:8: route[1].path: "/a?b" must be a plain path`},
		{documentWithRoute(`path = "/.godwitlock/x"`), `f:20:8: route[1].path: paths below /.godwitlock/ are reserved`},
		{documentWithRoute("idempotent = true\nexactly_once = true\nkey_query = \"k\"\nservice = \"ledger\""), `f:21:16: route[1].exactly_once: a route cannot be both idempotent and exactly_once`},
		{documentWithRoute("large = true\nexactly_once = true\nkey_query = \"k\"\nservice = \"ledger\""), `f:20:9: route[1].large: a route cannot be both large and exactly_once`},
		{documentWithRoute(`exactly_once = true`), `f:20:16: route[1].exactly_once: service "images" is pooled; only a keyed service`},
		{documentWithRoute(`key_query = "k"`), `f:16:3: route[1]: service "images" is pooled, so the route must not set key_header, key_query or key_segment`},
		{documentWithRoute(`service = "ledger"`), `f:16:3: route[1]: service "ledger" is keyed, so the route must set exactly one of key_header, key_query and key_segment`},
		{documentWithRoute("service = \"ledger\"\nkey_header = \"a b\""), `f:21:14: route[1].key_header: "a b" is not a header name`},
		{documentWithRoute("service = \"ledger\"\nkey_header = \"authorization\""), `f:21:14: route[1].key_header: the Authorization header holds the caller key`},
		{documentWithRoute("service = \"ledger\"\nkey_query = \"\""), `f:21:13: route[1].key_query: must not be empty`},
		{documentWithRoute("service = \"ledger\"\nkey_segment = 0"), `f:21:15: route[1].key_segment: is 0; must be from 1 to 64`},
		{documentWithRoute(`max_timeout = "1s"`), `f:20:15: route[1].max_timeout: is 1s, shorter than the route's timeout, 10s`},
	} {
		_, err := ParseDocument("f", []byte(c.text))
		require.ErrorContains(t, err, c.want, c.text)
	}
}

// documentWithServer returns a document with one valid server, in which line
// replaces the field of the same name.
func documentWithServer(line string) string {
	fields := map[string]string{"id": `"s1"`, "data_centre": `"dc-a"`, "addr": `"1.2.3.4:80"`, "slots": "3", "max_conns": "9"}
	return "data_centre = [{ name = \"dc-a\" }]\n[[service]]\nname = \"s\"\nkind = \"keyed\"\n[[service.server]]\n" + withDefaults(line, fields)
}

// documentWithRoute returns the valid document with a second route, in which lines
// replace the fields of the same names.
func documentWithRoute(lines string) string {
	fields := map[string]string{"path": `"/images/"`, "methods": `["GET"]`, "service": `"images"`}
	methodsLine := "" // precedes lines, so that lines always start at the same position
	if !strings.Contains(lines, "methods") {
		methodsLine = "methods = [\"GET\"]\n"
		delete(fields, "methods")
	} else {
		methodsLine = "\n"
	}
	return strings.TrimPrefix(validDocument, "\n") + "[[route]]\n" + "\n" + methodsLine + "\n" + withDefaults(lines, fields)
}

func withDefaults(lines string, fields map[string]string) string {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !strings.Contains("\n"+lines, "\n"+name+" ") {
			lines += "\n" + name + " = " + fields[name]
		}
	}
	return lines + "\n"
}

// Guards against a parser that reports only the first of several problems.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := ParseDocument("f", []byte("[limits]\nqueue_length = 0\nfoo = 1\n[[service]]\nname = \"X\"\nkind = \"k\"\n[[route]]\npath = \"\"\nservice = \"x\"\n"))
	var ps Problems
	require.ErrorAs(t, err, &ps)
	var at []string
	for _, p := range ps {
		at = append(at, p.Position.String()+" "+p.Field)
	}
	require.Equal(t, []string{
		"f:2:16 limits.queue_length", "f:3:1 limits.foo", "f:5:8 service[0].name", "f:6:8 service[0].kind",
		"f:7:3 route[0].methods", "f:8:8 route[0].path", "f:9:11 route[0].service",
	}, at)
}

// Guards against documents that pass validation but exceed the size limit of the
// platform's store.
func TestDocumentSize(t *testing.T) {
	pad := func(n int) []byte { return []byte(validDocument + "#" + strings.Repeat("x", n-len(validDocument)-1)) }
	_, err := ParseDocument("f", pad(MaxDocumentBytes))
	require.NoError(t, err)
	_, err = ParseDocument("f", pad(MaxDocumentBytes+1))
	require.ErrorContains(t, err, "the document has 1000001 bytes; at most 1000000 are accepted")
}

// Guards against local overrides that are not checked against the document, and
// against a merge that modifies the document or takes an empty list for none.
func TestMerge(t *testing.T) {
	doc, err := ParseDocument("f", []byte(validDocument))
	require.NoError(t, err)
	local, err := ParseLocal("l", []byte(`
data_centre = [{ name = "trial-a" }]
[[service]]
name = "ledger"
cell = "trial"
server = [{ id = "t1", data_centre = "trial-a", addr = "10.0.0.1:80", slots = 1, max_conns = 2 }]
[[service]]
name = "images"
server = [{ id = "t2", data_centre = "trial-a", addr = "10.0.0.2:80", slots = 1, max_conns = 2 }]
`))
	require.NoError(t, err)
	merged, err := Merge("m", doc, local)
	require.NoError(t, err)
	require.Equal(t, topo.BackendServer{ID: "t1", Service: "ledger", DataCentre: "trial-a", Addr: "10.0.0.1:80", Slots: 1, MaxConns: 2}, merged.Services[0].Servers[0])
	require.Equal(t, topo.CellName("trial"), merged.Services[0].Cell)
	require.Equal(t, topo.ServerID("s1"), doc.Services[0].Servers[0].ID, "the document is not modified")

	emptied := &Local{Services: []LocalService{{Name: "images", Servers: []topo.BackendServer{}}}, DataCentres: []DataCentre{}}
	_, err = Merge("m", doc, emptied)
	require.ErrorContains(t, err, `service "images" has no servers`, "an empty list replaces that of the document")
	require.ErrorContains(t, err, "lists data centres")
	_, err = ParseLocal("l", []byte("[[service]]\nname = \"images\"\ncell = \"\"\n"))
	require.ErrorContains(t, err, "service[0].cell")

	local.Services[1].Name = "imags"
	_, err = Merge("m", doc, local)
	require.ErrorContains(t, err, `service[1].name: the document has no service "imags" (did you mean "images"?)`)
	require.ErrorContains(t, err, `service[1].server[0].data_centre: no data_centre is named "dc-a"`)
	_, err = Merge("m", &Document{Services: []Service{{Name: "x", Kind: topo.Pooled, Cell: "main"}}}, nil)
	require.ErrorContains(t, err, `service "x" has no servers`)
	require.ErrorContains(t, err, "neither the document nor the environment's own part lists data centres")
}

// Guards against panics, against accepted documents that the decoder of go-toml
// rejects, and against problems whose position lies outside the document.
func FuzzDocument(f *testing.F) {
	for _, name := range []string{"quickstart.toml", "lumenfolha.toml", "sutokatha.toml"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", name))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("a.b = 1\n[a]\nc = { d.e = 1, d.f = [1, { x = 2 }] }\n[[q]]\n[[q]]\n[q.r]\n"))
	f.Add([]byte("[limits]\nmax_body = \"1KiB\"\n[limits]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseDocument("f", data)
		if err == nil {
			var out map[string]any
			require.NoError(t, toml.Unmarshal(data, &out))
			require.NotNil(t, doc)
			return
		}
		var ps Problems
		require.ErrorAs(t, err, &ps)
		lines := strings.Split(string(data), "\n")
		for _, p := range ps {
			require.True(t, p.Line >= 1 && p.Line <= len(lines), "%v", p)
			require.True(t, p.Column >= 1 && p.Column <= len(lines[p.Line-1])+1, "%v", p)
		}
	})
}

package settings

import (
	"errors"
	"flag"
	"io"
	"io/fs"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `
vm = "vm-1"
data_centre = "dc-a"
environment = "trial"
peer_addr = "10.0.0.1:7001"
caller_addr = "10.0.0.1:8443"
platform_url = "https://10.0.0.9:7000"
seed_peers = ["10.0.0.2:7001"]
[caller_tls]
cert = "c.pem"
key = "k.pem"
[peer_tls]
cert = "pc.pem"
key = "pk.pem"
ca = "ca.pem"
`

func load(text string, args ...string) (*Settings, error) {
	readFile := func(name string) ([]byte, error) {
		if name != "s.toml" {
			return nil, fs.ErrNotExist
		}
		return []byte(text), nil
	}
	return Load(append([]string{"-settings", "s.toml"}, args...), readFile, io.Discard)
}

// Guards against fields that cannot be set in the file or by a flag.
func TestLoad(t *testing.T) {
	s, err := load(valid)
	require.NoError(t, err)
	require.Equal(t, &Settings{
		VM: "vm-1", Cell: DefaultCell, DataCentre: "dc-a", Environment: "trial", PeerAddr: "10.0.0.1:7001", CallerAddr: "10.0.0.1:8443",
		PlatformURL: "https://10.0.0.9:7000", SeedPeers: []string{"10.0.0.2:7001"}, LogLevel: "info",
		CallerTLS: CallerTLS{"c.pem", "k.pem"}, PeerTLS: PeerTLS{"pc.pem", "pk.pem", "ca.pem"},
	}, s)
	require.Equal(t, "10.0.0.1:8443", s.VMRecord().CallerAddr)

	s, err = load(valid, "-vm", "vm-2", "-seed-peers", "10.0.0.3:1, 10.0.0.4:1", "-peer-tls-ca=other.pem", "-log-level", "debug")
	require.NoError(t, err)
	require.Equal(t, []any{"vm-2", "other.pem", "debug", 2}, []any{string(s.VM), s.PeerTLS.CA, s.LogLevel, len(s.SeedPeers)})

	s, err = Load(strings.Fields("-vm v -data-centre d -environment trial -peer-addr 127.0.0.1:1 -caller-addr 127.0.0.1:2 -platform-url http://127.0.0.1:3 -allow-plain-http -allow-plaintext-peers"), nil, io.Discard)
	require.NoError(t, err)
	require.True(t, s.AllowPlainHTTP && s.AllowPlaintextPeers)
}

// Guards against an invalid setting that is accepted or reported without its
// position. Each case covers one kind of error.
func TestProblems(t *testing.T) {
	without := func(line string) string { return strings.Replace(valid, line, "", 1) }
	with := func(line string) string {
		name := strings.SplitN(line, " ", 2)[0]
		var out []string
		for _, l := range strings.Split(valid, "\n") {
			if strings.HasPrefix(l, name+" ") {
				l = line
			}
			out = append(out, l)
		}
		return strings.Join(out, "\n")
	}
	for _, c := range []struct {
		text string
		args string
		want string
	}{
		{without(`vm = "vm-1"`), "", "s.toml:1:1: vm: is required"},
		{without(`environment = "trial"`), "", "environment: is required"},
		{with(`vm = "VM_1"`), "", `s.toml:2:6: vm: "VM_1" is not a name`},
		{valid, "-vm VM_1", `flags: -vm: "VM_1" is not a name`},
		{with(`environment = "a-name-of-more-than-32-characters-is-long"`), "", "at most 32 fit into a caller key"},
		{with(`peer_addr = "host:1"`), "", `s.toml:5:13: peer_addr: "host:1" is not an IP address and port`},
		{with(`peer_addr = "0.0.0.0:1"`), "", `"0.0.0.0:1" cannot be reached by other VMs`},
		{valid, "-caller-addr 10.0.0.1:7001", `flags: -caller-addr: 10.0.0.1:7001 is already the value of peer_addr`},
		{valid, "-admin-addr x", `flags: -admin-addr: "x" is not an IP address and port`},
		{with(`platform_url = "ftp://x"`), "", `platform_url: "ftp://x" is not a base URL`},
		{with(`platform_url = "https://u:secret@h"`), "", "must not contain a user or password"},
		{with(`seed_peers = ["x"]`), "", `s.toml:8:15: seed_peers[0]: "x" is not`},
		{with(`seed_peers = ["10.0.0.2:1", "10.0.0.2:1"]`), "", "seed_peers[1]: 10.0.0.2:1 is listed twice"},
		{valid, "-seed-peers x", `flags: -seed-peers: "x" is not`},
		{valid, "-log-level wran", `flags: -log-level: "wran" is not a log level; use debug, info, warn, error (did you mean "warn"?)`},
		{without("key = \"k.pem\"\n"), "", "s.toml:9:2: caller_tls.key: is required when another file of the section is set"},
		{without("ca = \"ca.pem\"\n"), "", "s.toml:12:2: peer_tls.ca: is required when another file of the section is set"},
		{strings.Split(valid, "[caller_tls]")[0], "", "caller_tls: is required, unless allow_plain_http = true"},
		{strings.Split(valid, "[caller_tls]")[0], "", "peer_tls: is required, unless allow_plaintext_peers = true"},
		{valid, "-allow-plain-http", "flags: -allow-plain-http: contradicts caller_tls"},
		{valid, "-allow-plaintext-peers", "flags: -allow-plaintext-peers: contradicts peer_tls"},
		{"vn = 'x'\n" + valid, "", `s.toml:1:1: vn: unknown field (did you mean "vm"?)`},
		{valid, "-vn x", "flags: flag provided but not defined: -vn"},
		{valid, "extra", `flags: unexpected argument "extra"`},
	} {
		_, err := load(c.text, strings.Fields(c.args)...)
		var ps Problems
		require.ErrorAs(t, err, &ps, c.want)
		require.ErrorContains(t, err, c.want)
		require.NotContains(t, err.Error(), "secret")
	}
}

// Guards against validation that stops at the first problem, and against a
// missing file that is reported as invalid content.
func TestAllProblemsAndMissingFile(t *testing.T) {
	_, err := load("vm = 'X'\nlog_level = 'loud'\n", "-peer-addr", "y")
	require.Len(t, err, 9, "%v", err)
	_, err = Load([]string{"-settings", "missing.toml"}, func(string) ([]byte, error) { return nil, fs.ErrNotExist }, io.Discard)
	require.True(t, errors.Is(err, fs.ErrNotExist))
	var out strings.Builder
	_, err = Load([]string{"-help"}, nil, &out)
	require.ErrorIs(t, err, flag.ErrHelp)
	require.Contains(t, out.String(), "-peer-tls-ca")
}

// Guards against a reference page that omits a field, lists an unknown one, or
// states a default that differs from the code.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../docs/reference/settings.md")
	require.NoError(t, err)
	documented := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = strings.Trim(m[2], "`")
	}
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	defaults := Defaults()
	fields := map[string]string{}
	for name, o := range defineFlags(flags, defaults) {
		fields[o.field] = flags.Lookup(name).DefValue
		require.NotEmpty(t, flags.Lookup(name).Usage, name)
	}
	require.Len(t, documented, len(fields))
	for field, value := range fields {
		require.Contains(t, documented, field)
		if value == "" {
			require.Contains(t, []string{"required", "none"}, documented[field], field)
		} else {
			require.Equal(t, value, documented[field], field)
		}
	}
	_, err = Load(nil, nil, io.Discard)
	var ps Problems
	require.ErrorAs(t, err, &ps)
	required := map[string]bool{}
	for _, p := range ps {
		if p.Message == "is required" {
			required[p.Field] = true
		}
	}
	for field, value := range documented {
		require.Equal(t, required[field], value == "required", field)
	}
}

// Guards against a limit of memory that is lost or taken in another unit.
func TestMemoryLimit(t *testing.T) {
	args := []string{
		"-vm", "vm-1", "-data-centre", "dc-a", "-environment", "trial", "-peer-addr", "127.0.0.1:1", "-caller-addr", "127.0.0.1:2",
		"-platform-url", "http://127.0.0.1:3", "-allow-plain-http", "-allow-plaintext-peers", "-memory-mb",
	}
	for value, problem := range map[string]string{"144": "", "0": "", "10": "use 64 to", "150994944": "use 64 to", "x": "whole number"} {
		s, err := Load(append(args, value), nil, io.Discard)
		if problem != "" {
			require.ErrorContains(t, err, problem, value)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, value, strconv.FormatInt(s.MemoryMB, 10))
	}
}

package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/tomlcheck"
)

// LogLevels lists the accepted log levels.
var LogLevels = []string{"debug", "info", "warn", "error"}

type validator struct {
	c *tomlcheck.Checker
	s *Settings
	// fromFlag maps the TOML path of each field that a flag set to the flag's
	// name.
	fromFlag map[string]string
}

// addProblem records a problem at the position of the flag that set the field, or
// else at its position in the file.
func (v *validator) addProblem(field, suggestion, format string, args ...any) {
	if name, ok := v.fromFlag[field]; ok {
		v.c.AddProblem(Problem{Position: flagPosition(), Field: "-" + name, Message: fmt.Sprintf(format, args...), Suggestion: suggestion})
		return
	}
	v.c.Suggest(field, suggestion, format, args...)
}

func (v *validator) checkAll() {
	s := v.s
	v.checkName("vm", string(s.VM))
	v.checkName("cell", string(s.Cell))
	v.checkName("data_centre", string(s.DataCentre))
	v.checkName("environment", s.Environment)
	if len(s.Environment) > callerkey.MaxEnvironmentLen {
		v.addProblem("environment", "", "has %d characters; at most %d fit into a caller key", len(s.Environment), callerkey.MaxEnvironmentLen)
	}
	v.checkAddr("peer_addr", s.PeerAddr)
	v.checkAddr("caller_addr", s.CallerAddr)
	if s.AdminAddr != "" {
		v.checkAddr("admin_addr", s.AdminAddr)
	}
	if host, _, err := net.SplitHostPort(s.PeerAddr); err == nil && net.ParseIP(host).IsUnspecified() {
		v.addProblem("peer_addr", "", "%q cannot be reached by other VMs; use a specific address of this VM", s.PeerAddr)
	}
	v.checkDistinctAddrs()
	v.checkPlatformURL()
	v.checkSeedPeers()
	if !slices.Contains(LogLevels, s.LogLevel) {
		v.addProblem("log_level", tomlcheck.Nearest(s.LogLevel, LogLevels), "%q is not a log level; use %s", s.LogLevel, strings.Join(LogLevels, ", "))
	}
	v.checkCallerTLS()
	v.checkPeerTLS()
	if v.s.MemoryMB != 0 && (v.s.MemoryMB < minMemoryMB || v.s.MemoryMB > maxMemoryMB) {
		v.addProblem("memory_mb", "", "is %d; use %d to %d, or 0 for no limit", v.s.MemoryMB, minMemoryMB, maxMemoryMB)
	}
}

// minMemoryMB leaves room for the program itself; maxMemoryMB finds a value in another
// unit.
const minMemoryMB, maxMemoryMB = 64, 1 << 20

func (v *validator) checkName(field, value string) {
	switch {
	case value == "":
		v.addProblem(field, "", "is required")
	case !config.ValidName(value):
		v.addProblem(field, "", "%q is not a name: use 1 to 63 lower-case letters, digits and hyphens, beginning and ending with a letter or digit", value)
	}
}

func (v *validator) checkAddr(field, value string) {
	if value == "" {
		v.addProblem(field, "", "is required")
	} else if err := config.CheckAddr(value); err != nil {
		v.addProblem(field, "", "%s", err)
	}
}

func (v *validator) checkDistinctAddrs() {
	seen := map[string]string{}
	for _, f := range []struct{ field, addr string }{{"peer_addr", v.s.PeerAddr}, {"caller_addr", v.s.CallerAddr}, {"admin_addr", v.s.AdminAddr}} {
		if f.addr == "" {
			continue
		}
		if other, ok := seen[f.addr]; ok {
			v.addProblem(f.field, "", "%s is already the value of %s", f.addr, other)
		}
		seen[f.addr] = f.field
	}
}

func (v *validator) checkPlatformURL() {
	if v.s.PlatformURL == "" {
		v.addProblem("platform_url", "", "is required")
		return
	}
	u, err := url.Parse(v.s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		v.addProblem("platform_url", "", "%q is not a base URL such as https://10.0.0.1:7000", withoutUserInfo(v.s.PlatformURL))
		return
	}
	if u.User != nil {
		v.addProblem("platform_url", "", "must not contain a user or password")
	}
}

// withoutUserInfo removes the user and password of a URL, to keep them out of
// error messages.
func withoutUserInfo(raw string) string {
	return raw[strings.LastIndexByte(raw, '@')+1:]
}

func (v *validator) checkSeedPeers() {
	for i, seed := range v.s.SeedPeers {
		field := fmt.Sprintf("seed_peers[%d]", i)
		if _, ok := v.fromFlag["seed_peers"]; ok {
			field = "seed_peers"
		}
		if err := config.CheckAddr(seed); err != nil {
			v.addProblem(field, "", "%s", err)
		} else if slices.Contains(v.s.SeedPeers[:i], seed) {
			v.addProblem(field, "", "%s is listed twice", seed)
		}
	}
}

func (v *validator) checkCallerTLS() {
	t := v.s.CallerTLS
	some, all := v.checkTLSFiles(map[string]string{"caller_tls.cert": t.Cert, "caller_tls.key": t.Key})
	switch {
	case some && v.s.AllowPlainHTTP:
		v.addProblem("allow_plain_http", "", "contradicts caller_tls; set one of them")
	case !all && !some && !v.s.AllowPlainHTTP:
		v.addProblem("caller_tls", "", "is required, unless allow_plain_http = true permits callers without TLS")
	}
}

func (v *validator) checkPeerTLS() {
	t := v.s.PeerTLS
	some, all := v.checkTLSFiles(map[string]string{"peer_tls.cert": t.Cert, "peer_tls.key": t.Key, "peer_tls.ca": t.CA})
	switch {
	case some && v.s.AllowPlaintextPeers:
		v.addProblem("allow_plaintext_peers", "", "contradicts peer_tls; set one of them")
	case !all && !some && !v.s.AllowPlaintextPeers:
		v.addProblem("peer_tls", "", "is required, unless allow_plaintext_peers = true permits connections between VMs without TLS")
	}
}

// checkTLSFiles reports whether some and whether all of the files, which are given
// by field, have a name. If only some have one, it records a problem for each of
// the others.
func (v *validator) checkTLSFiles(files map[string]string) (some, all bool) {
	all = true
	for _, path := range files {
		some = some || path != ""
		all = all && path != ""
	}
	if some && !all {
		for field, path := range files {
			if path == "" {
				v.addProblem(field, "", "is required when another file of the section is set")
			}
		}
	}
	return some, all
}

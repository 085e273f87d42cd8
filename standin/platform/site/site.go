package site

import "fmt"

// Addresses are the loopback addresses of the process of a VM.
type Addresses struct {
	// Front and Ready are of the form host:port. InternalPorts are the first
	// and last port for traffic between the processes.
	Front, Ready  string
	InternalPorts [2]string
	Store         string
	// Bounds are further bounds, each as "name=value".
	Bounds []string
}

// Limits are the resource limits of a VM; 0 means none.
type Limits struct{ RAMMb, MaxFds int }

// GraceS is the time in seconds between SIGTERM and SIGKILL, and RouteTimeoutS is
// the time after which a request must be answered.
const (
	GraceS        = 4
	RouteTimeoutS = 2.5
)

// Settings returns the content of the settings file of a VM.
func Settings(name, dataCentre string, p Addresses, l Limits) string {
	bounds := ""
	for _, b := range p.Bounds {
		bounds += fmt.Sprintf(",%q", b)
	}
	return fmt.Sprintf(`node = %q
ip = "127.0.0.1"
zone = %q
internalPorts = [%s, %s]
bounds = ["revokeS=5","graceS=%d","drainS=2","maxHoldS=10","retryRatio=0.2","retrySlack=20","quotaWindowS=5"%s]
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.5
ramMb = %d
maxFds = %d
[platform]
addr = %q
`, name, dataCentre, p.InternalPorts[0], p.InternalPorts[1], GraceS, bounds, p.Front, p.Ready, l.RAMMb, l.MaxFds, p.Store)
}

// PutConfig writes a configuration with one keyed service, "ledger", a route
// "/read/" whose requests may be retried, a route "/write/" whose requests may
// not, and the caller keys of each customer. It asks for keys unless keys is nil.
func (s *Store) PutConfig(version int, keys map[string][]string) {
	tenants := make([]map[string]any, 0, len(keys))
	for name, list := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": list, "ratePerS": 500, "burst": 500})
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind,
			"timeoutS": RouteTimeoutS, "sloS": 0.5, "priority": 1, "service": "ledger", "attempts": 2}
	}
	config := map[string]any{
		"version":  version,
		"routes":   []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 100, "sharded": true}},
	}
	if keys != nil {
		config["tenants"] = tenants
	}
	s.Put("config", "main", config)
}

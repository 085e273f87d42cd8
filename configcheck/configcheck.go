// Package configcheck checks a routing configuration before it is sent: errors for which
// it would be rejected, entries that can never take effect, limits that contradict each
// other, and what differs from the configuration in force.
//
// The package does no I/O.
package configcheck

import (
	"fmt"
	"strings"
	"time"

	"godwitlock.example/godwitlock/routemap"
	"godwitlock.example/godwitlock/topo"
)

// Severity says what a finding means for the configuration.
type Severity string

// The severities.
const (
	// Error means that the configuration is rejected, or that requests are refused or
	// routed in a way that nobody can want.
	Error Severity = "error"
	// Warning means that an entry has no effect, or probably not the intended one.
	Warning Severity = "warning"
)

// Finding is a fault of one entry.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, such as `route "checkout"`.
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

// checker collects the findings on a configuration.
type checker struct {
	cfg      routemap.Config
	findings []Finding
	// uses counts the routes that send requests to a service.
	uses map[topo.ServiceName]int
}

// Check returns the findings on a configuration, in the order of its entries.
func Check(cfg routemap.Config) []Finding {
	c := &checker{cfg: cfg, uses: make(map[topo.ServiceName]int)}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkLimits()
	return c.findings
}

func (c *checker) add(s Severity, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

func routeEntry(name string) string              { return fmt.Sprintf("route %q", name) }
func serviceEntry(name topo.ServiceName) string  { return fmt.Sprintf("service %q", name) }
func customerEntry(id topo.CustomerID) string    { return fmt.Sprintf("customer %q", id) }
func match(r routemap.Route) (host, path string) { return strings.ToLower(r.Host), r.PathPrefix }

func (c *checker) checkRoutes() {
	services := make(map[topo.ServiceName]bool)
	for _, s := range c.cfg.Services {
		services[s.Name] = true
	}
	names := make(map[string]bool)
	matched := make(map[[2]string]string)
	for _, r := range c.cfg.Routes {
		entry := routeEntry(r.Name)
		if r.Name == "" || names[r.Name] {
			c.add(Error, entry, "the name is empty or used twice")
		}
		names[r.Name] = true
		host, path := match(r)
		if first, taken := matched[[2]string{host, path}]; taken {
			c.add(Error, entry, "can never match: route %q has the same host and path prefix", first)
		} else {
			matched[[2]string{host, path}] = r.Name
		}
		c.checkMatch(entry, r)
		c.checkDestinations(entry, r, services)
		c.checkTimes(entry, r)
	}
}

// checkMatch checks that requests can match a route. The host of a request is compared
// without its port.
func (c *checker) checkMatch(entry string, r routemap.Route) {
	switch {
	case r.Host == "":
		c.add(Error, entry, "can never match: it has no host")
	case strings.Contains(r.Host, ":"):
		c.add(Error, entry, "can never match: host %q has a port, and hosts are compared without one", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.add(Error, entry, "can never match: path prefix %q does not begin with a slash", r.PathPrefix)
	}
	if r.Public && !c.cfg.NeedsKeys() {
		c.add(Warning, entry, "public has no effect: without a list of customers, no route needs a caller key")
	}
}

func (c *checker) checkDestinations(entry string, r routemap.Route, services map[topo.ServiceName]bool) {
	if len(r.Destinations) == 0 {
		c.add(Error, entry, "has no service")
	}
	positive, negative, seen := false, false, make(map[topo.ServiceName]bool)
	for _, d := range r.Destinations {
		positive, negative = positive || d.Weight > 0, negative || d.Weight < 0
		switch {
		case !services[d.Service]:
			c.add(Error, entry, "service %q does not exist", d.Service)
		case d.Weight < 0:
			c.add(Error, entry, "service %q has weight %v, expected at least 0", d.Service, d.Weight)
			c.uses[d.Service]++
		case d.Weight == 0:
			c.add(Warning, entry, "service %q has weight 0 and gets no requests", d.Service)
		default:
			c.uses[d.Service]++
		}
		if seen[d.Service] {
			c.add(Warning, entry, "lists service %q more than once", d.Service)
		}
		seen[d.Service] = true
	}
	if len(r.Destinations) > 0 && !positive && !negative {
		c.add(Error, entry, "all weights are 0")
	}
}

func (c *checker) checkTimes(entry string, r routemap.Route) {
	if r.Kind < routemap.Idempotent || r.Kind > routemap.Download {
		c.add(Error, entry, "kind is missing or unknown")
	}
	if r.Timeout < 0 || r.Objective < 0 || r.Priority < 0 {
		c.add(Error, entry, "a time or the priority is below 0")
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Error, entry, "objective %v is longer than timeout %v, so that no response can be late", r.Objective, r.Timeout)
	}
	if r.Attempts < 1 {
		c.add(Error, entry, "attempts is %d, expected at least 1", r.Attempts)
	}
	if idle := c.cfg.Limits.IdleTimeout; idle > 0 && r.Timeout > idle {
		c.add(Warning, entry, "timeout %v is longer than the idle timeout %v of callers' connections", r.Timeout, idle)
	}
}

func (c *checker) checkServices() {
	seen := make(map[topo.ServiceName]bool)
	for _, s := range c.cfg.Services {
		entry := serviceEntry(s.Name)
		if s.Name == "" || seen[s.Name] {
			c.add(Error, entry, "the name is empty or used twice")
		}
		seen[s.Name] = true
		if c.uses[s.Name] == 0 {
			c.add(Warning, entry, "no route sends requests to it")
		}
		if s.MaxConns < 0 || s.WarmUp < 0 || s.ColdRate < 0 {
			c.add(Error, entry, "a limit is below 0")
		}
		if s.ColdRate > 0 && s.WarmUp == 0 {
			c.add(Warning, entry, "the rate of cold servers has no effect without a warm-up time")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			c.add(Error, entry, "health path %q does not begin with a slash", s.HealthPath)
		}
	}
}

func (c *checker) checkCustomers() {
	if c.cfg.NeedsKeys() && len(c.cfg.Customers) == 0 {
		c.add(Warning, "customers", "the list is empty: requests on routes that are not public are refused, whatever their caller key")
	}
	holders := make(map[string]topo.CustomerID)
	seen := make(map[topo.CustomerID]bool)
	for _, cu := range c.cfg.Customers {
		entry := customerEntry(cu.ID)
		if cu.ID == "" || seen[cu.ID] {
			c.add(Error, entry, "the name is empty or used twice")
		}
		seen[cu.ID] = true
		if len(cu.Keys) == 0 {
			c.add(Warning, entry, "has no caller key, so that no request can be its")
		}
		for _, key := range cu.Keys {
			if other, taken := holders[key]; taken {
				c.add(Error, entry, "shares a caller key with customer %q", other)
			}
			holders[key] = cu.ID
		}
		switch {
		case cu.Rate < 0 || cu.Burst < 0 || cu.Priority != nil && *cu.Priority < 0:
			c.add(Error, entry, "a limit or the priority is below 0")
		case cu.Rate == 0 && cu.Burst > 0:
			c.add(Warning, entry, "burst %v has no effect: a rate of 0 means no limit", cu.Burst)
		case cu.Rate > 0 && cu.Burst < 1:
			c.add(Warning, entry, "burst %v allows less than one request at once, at a rate of %v per second", cu.Burst, cu.Rate)
		}
	}
}

// minIdleTimeout is the shortest idle timeout with which callers can reuse connections.
const minIdleTimeout = time.Second

func (c *checker) checkLimits() {
	l := c.cfg.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.add(Error, "limits", "a limit is below 0")
	}
	for name, unlimited := range map[string]bool{"header size": l.HeaderBytes == 0, "body size": l.BodyBytes == 0} {
		if unlimited {
			c.add(Warning, "limits", "the %s of callers' requests is not limited", name)
		}
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < minIdleTimeout {
		c.add(Warning, "limits", "idle timeout %v is too short for callers to reuse connections", l.IdleTimeout)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "limits", "header timeout %v is longer than the idle timeout %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

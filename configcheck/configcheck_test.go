package configcheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/routemap"
)

func valid() routemap.Config {
	return routemap.Config{
		Version: 1,
		Routes: []routemap.Route{{
			Name: "a", Host: "a.example", PathPrefix: "/x/", Kind: routemap.Idempotent, Timeout: 2 * time.Second, Attempts: 2,
			Destinations: []routemap.Destination{{Service: "s", Weight: 1}},
		}},
		Services: []routemap.Service{{Name: "s"}},
		Limits:   routemap.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: 9 * time.Second},
	}
}

// Guards against findings on a configuration without faults, which teach operators to
// ignore the check, and against faults that it does not find.
func TestCheckFindsEachFault(t *testing.T) {
	require.Empty(t, Check(valid()))
	for name, tc := range map[string]struct {
		change   func(*routemap.Config)
		severity Severity
		message  string
	}{
		"host with port":          {func(c *routemap.Config) { c.Routes[0].Host = "a.example:80" }, Error, "has a port"},
		"no host":                 {func(c *routemap.Config) { c.Routes[0].Host = "" }, Error, "no host"},
		"prefix":                  {func(c *routemap.Config) { c.Routes[0].PathPrefix = "x/" }, Error, "does not begin with a slash"},
		"kind":                    {func(c *routemap.Config) { c.Routes[0].Kind = 0 }, Error, "kind is missing"},
		"attempts":                {func(c *routemap.Config) { c.Routes[0].Attempts = 0 }, Error, "expected at least 1"},
		"negative weight":         {func(c *routemap.Config) { c.Routes[0].Destinations[0].Weight = -1 }, Error, "weight -1"},
		"public":                  {func(c *routemap.Config) { c.Routes[0].Public = true }, Warning, "public has no effect"},
		"empty list of customers": {func(c *routemap.Config) { c.Authenticate = true }, Warning, "the list is empty"},
		"idle timeout":            {func(c *routemap.Config) { c.Routes[0].Timeout = 20 * time.Second }, Warning, "longer than the idle timeout"},
		"cold rate":               {func(c *routemap.Config) { c.Services[0].ColdRate = 5 }, Warning, "without a warm-up time"},
		"unlimited body":          {func(c *routemap.Config) { c.Limits.BodyBytes = 0 }, Warning, "body size of callers' requests is not limited"},
		"header timeout":          {func(c *routemap.Config) { c.Limits.HeaderTimeout = 10 * time.Second }, Warning, "header timeout 10s is longer"},
		"shared caller key": {func(c *routemap.Config) {
			c.Customers = []routemap.Customer{{ID: "a", Keys: []string{"k"}}, {ID: "b", Keys: []string{"k"}}}
		}, Error, "shares a caller key"},
		"burst only":    {func(c *routemap.Config) { c.Customers = []routemap.Customer{{ID: "a", Keys: []string{"k"}, Burst: 3}} }, Warning, "a rate of 0 means no limit"},
		"service twice": {func(c *routemap.Config) { c.Services = append(c.Services, c.Services[0]) }, Error, "used twice"},
	} {
		cfg := valid()
		tc.change(&cfg)
		findings := Check(cfg)
		require.Len(t, findings, 1, "%s: %v", name, findings)
		require.Equal(t, tc.severity, findings[0].Severity, name)
		require.Contains(t, findings[0].Message, tc.message, name)
	}
}

// Guards against a difference that the comparison hides from the operator.
func TestDiffNamesEachChange(t *testing.T) {
	old, next := valid(), valid()
	require.Empty(t, Diff(old, next))
	next.Routes[0].Timeout = 3 * time.Second
	next.Services = []routemap.Service{{Name: "t"}}
	next.Limits.BodyBytes = 5
	require.Equal(t, []Change{
		{"limits", "BodyBytes: 1 -> 5"}, {`route "a"`, "Timeout: 2s -> 3s"}, {`service "s"`, "removed"}, {`service "t"`, "added"},
	}, Diff(old, next))
}

// Guards against a comparison that does not tell that requests need no caller key any more,
// and against one that tells so if only the last customer was removed.
func TestDiffTellsWhetherKeysAreNeeded(t *testing.T) {
	customers, closed, open := valid(), valid(), valid()
	customers.Customers = []routemap.Customer{{ID: "a", Keys: []string{"k"}}}
	closed.Authenticate = true
	require.Equal(t, []Change{{`customer "a"`, "removed"}}, Diff(customers, closed))
	require.Equal(t, []Change{{"customers", "without a list of customers, requests need no caller key any more"}}, Diff(closed, open))
	require.Equal(t, []Change{{"customers", "requests need a caller key"}}, Diff(open, closed))
}

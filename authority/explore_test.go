package authority

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// smallRules returns rules with short durations that keep the relevant
// proportions: without drift, witnessHold equals ttl, and rosterChangeInterval
// equals maxRosterAge.
func smallRules() *rules {
	return &rules{ttl: 2 * tick, witnessHold: 2 * tick, maxRosterAge: 2 * tick, rosterChangeInterval: 2 * tick}
}

// fixedRoster returns a model in which the roster always has three witnesses, so the
// limit on the age of the roster is switched off.
func fixedRoster() params {
	r := smallRules()
	r.omit.maxRosterAge = true
	return params{rules: r, roster: witnessIDs[:], maxStates: 350_000}
}

// growingRoster returns a model that starts with one witness and changes the roster
// through the store.
func growingRoster() params {
	return params{rules: smallRules(), roster: []topo.VMID{"w0"}, maxStates: 350_000}
}

// scenarios maps the faults that an exploration combines to its parameters. All
// scenarios include pauses, partitions, lapses of authority and store outages.
var scenarios = map[string]func() params{
	"late messages and witness restarts": func() params {
		p := fixedRoster()
		p.restarts, p.inFlight = true, 1
		return p
	},
	"claims through the store with lost responses": func() params {
		p := fixedRoster()
		p.restarts, p.claims = true, 1
		return p
	},
	"planned stops with late messages": func() params {
		p := fixedRoster()
		p.releases, p.inFlight = true, 1
		return p
	},
	"server leases with planned stops": func() params {
		p := fixedRoster()
		p.releases, p.leaseTTL = true, 2
		return p
	},
	"server leases with witness restarts": func() params {
		p := fixedRoster()
		p.restarts, p.leaseTTL = true, 2
		return p
	},
	"one roster change": func() params {
		p := growingRoster()
		p.rosterChanges = 1
		return p
	},
	"one roster change with witness restarts": func() params {
		p := growingRoster()
		p.roster, p.rosterChanges, p.restarts = witnessIDs[:2], 1, true
		p.maxStates = 100_000
		return p
	},
	"roster changes": func() params {
		p := growingRoster()
		p.rosterChanges, p.maxStates = 2, 100_000
		return p
	},
	"everything": func() params {
		p := fixedRoster()
		p.restarts, p.releases, p.claims, p.inFlight, p.leaseTTL = true, true, 1, 1, 2
		p.maxStates = 60_000
		return p
	},
}

// boundedScenarios holds the scenarios that are explored only up to maxStates.
var boundedScenarios = map[string]bool{
	"one roster change with witness restarts": true,
	"roster changes": true,
	"everything":     true,
}

// Guards against two controllers with authority, a lapsed term that regains
// authority, a controller that gains authority before the leases of the previous
// one have ended, a slice with two owners, and a term with two owners.
func TestExploration(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		t.Run(name, func(t *testing.T) {
			p := scenarios[name]()
			res := explore(&p)
			require.Empty(t, res.violation, "%v", res.trace)
			require.Equal(t, !boundedScenarios[name], res.complete, "%d states", res.states)
			t.Logf("%d states, complete: %v", res.states, res.complete)
		})
	}
}

// Guards against a rule without effect and against an exploration that misses
// violations: with any one rule switched off, the exploration must find the
// violation that the rule prevents.
func TestExplorationWithoutRule(t *testing.T) {
	const (
		twoControllers = "two controllers have authority"
		twoSliceOwners = "a slice has two owners"
		regained       = "a lapsed term has authority again"
		twoTermOwners  = "a term has two owners"
	)
	cases := []struct {
		rule      string
		scenario  string
		omit      func(p *params)
		violation string
	}{
		{"a witness attests nothing just after its start", "late messages and witness restarts",
			func(p *params) { p.rules.omit.startupHold = true }, twoControllers},
		{"a higher term waits for the end of the lower one", "late messages and witness restarts",
			func(p *params) { p.rules.omit.waitForLowerTerm = true }, twoControllers},
		{"a lower term is refused", "late messages and witness restarts",
			func(p *params) { p.rules.omit.refuseLowerTerm = true }, twoControllers},
		{"a lapsed term is abandoned", "late messages and witness restarts",
			func(p *params) { p.rules.omit.lapseIsFinal = true }, regained},
		{"an attestation is valid from the time of its request", "late messages and witness restarts",
			func(p *params) { p.rules.omit.ttlFromSend = true }, twoControllers},
		{"the cell object is written conditionally", "claims through the store with lost responses",
			func(p *params) { p.omitCondition, p.claims = true, 2 }, twoTermOwners},
		{"a new controller waits before it grants slices", "server leases with planned stops",
			func(p *params) { p.omitCollect = true }, twoSliceOwners},
		{"a lease never outlives the authority", "server leases with planned stops",
			func(p *params) { p.omitLeaseCap = true }, twoSliceOwners},
		{"roster changes have a minimum interval", "roster changes",
			func(p *params) { p.rules.omit.rosterChangeInterval = true }, twoControllers},
		{"an old roster gains no authority", "roster changes",
			func(p *params) { p.rules.omit.maxRosterAge = true }, twoControllers},
		{"a roster change adds or removes one member", "roster changes",
			func(p *params) { p.rules.omit.singleMemberChange = true }, twoControllers},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			p := scenarios[c.scenario]()
			c.omit(&p)
			res := explore(&p)
			require.Equal(t, c.violation, res.violation)
			t.Logf("%d states, trace of %d: %v", res.states, len(res.trace), res.trace)
		})
	}
}

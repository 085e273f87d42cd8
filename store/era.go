package store

import "godwitlock.example/godwitlock/topo"

// EraReporter is implemented by clients of a store that may return to an older copy of
// itself. Their revisions and versions bear the era; see topo.RevisionOf.
type EraReporter interface {
	// Era returns the newest era that a response of the store has borne.
	Era() topo.Era
}

// EraOf returns the era that o reports, or 0 if it reports none.
func EraOf(o Objects) topo.Era {
	if r, ok := o.(EraReporter); ok {
		return r.Era()
	}
	return 0
}

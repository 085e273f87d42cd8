package placement

import (
	"cmp"
	"slices"

	"godwitlock.example/godwitlock/keyrange"
)

const (
	// maxInitialParts is the number of ranges that each server has at first, at
	// most.
	maxInitialParts = 8
	// maxInitialRanges bounds the ranges of all servers, which the leader renews one
	// by one.
	maxInitialRanges = 900
)

// Initial divides all keys among servers in proportion to their slots. It answers for
// the first seconds of a service, when the load of the keys is not known: busy keys lie
// close to one another, so each server gets several ranges that are spread evenly over
// the keys, and with that about the same part of any busy stretch.
func Initial(servers []Server) []Range {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	slots := 0
	for _, s := range servers {
		slots += s.Slots
	}
	parts := min(max(maxInitialRanges/len(servers), 1), maxInitialParts)
	var out []Range
	next, slotsBefore := 0, 0
	for part := range parts {
		// Each part begins with another server, so that no server has the hottest
		// keys of a busy stretch in two parts.
		first := part * len(servers) / (parts * parts)
		for i := range servers {
			s := servers[(first+i)%len(servers)]
			slotsBefore += s.Slots
			end := keyrange.KeyCount * slotsBefore / (slots * parts)
			if end > next {
				out = append(out, Range{First: keyrange.Key(next), Last: keyrange.Key(end - 1), Owner: s.ID})
				next = end
			}
		}
	}
	return out
}

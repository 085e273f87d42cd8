package execution

import (
	"time"

	"godwitlock.example/godwitlock/topo"
)

// Exported is the history of a set of slices in transfer to another home VM.
// Since holds the time from which the history of each slice is complete.
type Exported struct {
	Entries []ExportedEntry
	Since   map[topo.SliceID]time.Time
}

// ExportedEntry is the record of one finished request. Response is nil if the
// response was not kept.
type ExportedEntry struct {
	ID       HistoryID
	Slice    topo.SliceID
	State    State
	Digest   Digest
	Response *Recorded
}

// Export removes the history of slices and returns it. It returns false, and
// changes nothing, if a request of one of them is in progress, because the
// slices are not fully drained then.
func (h *History) Export(slices []topo.SliceID) (Exported, bool) {
	moving := make(map[topo.SliceID]bool, len(slices))
	for _, s := range slices {
		moving[s] = true
	}
	out := Exported{Since: map[topo.SliceID]time.Time{}}
	for id, e := range h.entries {
		if !moving[e.slice] {
			continue
		}
		if e.state == InProgress {
			return Exported{}, false
		}
		out.Entries = append(out.Entries, ExportedEntry{id, e.slice, e.state, e.digest, e.response})
	}
	for _, e := range out.Entries {
		h.remove(e.ID)
	}
	for _, s := range slices {
		if since, ok := h.since[s]; ok {
			out.Since[s] = since
			delete(h.since, s)
		}
	}
	return out, true
}

// Import adds history that another History exported, and makes this history
// responsible for its slices. Entries are added even if the limits are
// exceeded, because a request could run twice without its entry.
func (h *History) Import(in Exported) {
	for _, entry := range in.Entries {
		keyTime, err := KeyTime(entry.ID.Key)
		if err != nil || h.entries[entry.ID] != nil {
			continue
		}
		if entry.Response != nil {
			h.bytes += entry.Response.size()
		}
		h.add(entry.ID, &historyEntry{slice: entry.Slice, state: entry.State, digest: entry.Digest, keyTime: keyTime, response: entry.Response})
	}
	for s, since := range in.Since {
		h.since[s] = since
	}
}

func (h *History) add(id HistoryID, e *historyEntry) {
	h.entries[id] = e
	h.scheduleExpiry(id, e, max(e.keyTime.Add(retention).Unix()+1, h.sweptBefore))
}

// scheduleExpiry sets the Unix second after which the entry is removed unless
// it is still in progress.
func (h *History) scheduleExpiry(id HistoryID, e *historyEntry, second int64) {
	e.expirySecond = second
	if h.expiry[second] == nil {
		h.expiry[second] = map[HistoryID]struct{}{}
	}
	h.expiry[second][id] = struct{}{}
}

func (h *History) remove(id HistoryID) {
	e := h.entries[id]
	if e.response != nil {
		h.bytes -= e.response.size()
	}
	delete(h.entries, id)
	delete(h.expiry[e.expirySecond], id)
	if len(h.expiry[e.expirySecond]) == 0 {
		delete(h.expiry, e.expirySecond)
	}
}

// advance sets the history's time to now unless that is earlier, removes
// expired entries and returns the history's time. It strips the monotonic
// clock reading, since the timestamps of keys come from other machines' clocks.
func (h *History) advance(now time.Time) time.Time {
	now = now.Round(0)
	if now.Before(h.latest) {
		return h.latest
	}
	h.latest = now
	second := now.Unix()
	if second-h.sweptBefore > int64(len(h.expiry)) {
		for s := range h.expiry {
			if s < second {
				h.expireSecond(s, second)
			}
		}
	} else {
		for s := h.sweptBefore; s < second; s++ {
			h.expireSecond(s, second)
		}
	}
	h.sweptBefore = max(h.sweptBefore, second)
	return now
}

// expireSecond removes the entries whose retention ended in second s. An entry
// in progress is checked again after second now.
func (h *History) expireSecond(s, now int64) {
	for id := range h.expiry[s] {
		if e := h.entries[id]; e.state == InProgress {
			delete(h.expiry[s], id)
			h.scheduleExpiry(id, e, now)
		} else {
			h.remove(id)
		}
	}
	delete(h.expiry, s)
}

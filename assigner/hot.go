package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// Limits and thresholds for hot keys.
const (
	// minHotReports is the number of reports in which a key must be hot before
	// it gets an owner of its own; 3 reports take 1.2 s at HeartbeatInterval.
	minHotReports = 3
	// hotReportMaxAge is the age above which a report of a hot key is ignored.
	hotReportMaxAge = 2 * time.Second
	// minHotImbalance is the lowest ratio of the highest server load to the mean
	// load at which a hot key is moved.
	minHotImbalance = 1.25
	// minHotGain is the minimum relative decrease of the highest load that
	// justifies a move.
	minHotGain = 0.1
	// hotDemotionDelay is the time after which a key that is no longer hot
	// returns to its slice.
	hotDemotionDelay = 10 * time.Second
	// hotDemotionRatio is the ratio of a key's rate to its rate at promotion
	// below which the key is no longer hot.
	hotDemotionRatio = 0.25
	// hotDecisionInterval is the minimum time between moves of hot keys, so that
	// reports show the effect of the previous move.
	hotDecisionInterval = 2 * time.Second
	// maxHotStats is the maximum number of keys per service whose rates are kept.
	maxHotStats = 1024
	// smoothingFactor is the weight of a new sample in an exponentially smoothed
	// rate.
	smoothingFactor = 0.4
)

// split is a hot key to separate from its slice, and its new owner.
type split struct {
	key string
	to  uint16
}

// hotStat holds the statistics of a key from the reports of home VMs.
type hotStat struct {
	rate       float64
	reports    int
	server     uint16
	reportedAt time.Time
	// promotedRate is the rate at which the key got an owner of its own, or 0.
	// lastHotAt is the last time at which the promoted key was still hot.
	promotedRate float64
	lastHotAt    time.Time
}

type hotState struct {
	stats          map[string]*hotStat
	nextDecisionAt time.Time
	maxRatePerSlot float64
}

func newHotState() hotState { return hotState{stats: map[string]*hotStat{}} }

// applyLoad updates the rates of a server and of its hot keys from a report.
func (s *service) applyLoad(now time.Time, i uint16, r *ServerReport) {
	v := s.servers[i]
	v.rate += smoothingFactor * (r.Rate - v.rate)
	for _, k := range r.HotKeys {
		if k.Key == "" || len(k.Key) > slicemap.MaxString || !(k.Rate > 0) {
			continue
		}
		st := s.hot.stats[k.Key]
		if st == nil {
			if len(s.hot.stats) >= maxHotStats {
				continue
			}
			st = &hotStat{rate: k.Rate}
			s.hot.stats[k.Key] = st
		}
		if st.server != i {
			st.reports = 0
		}
		st.rate += smoothingFactor * (k.Rate - st.rate)
		st.reports, st.server, st.reportedAt = st.reports+1, i, now
	}
}

// stepHotKeys makes the decisions on hot keys that are due.
func (a *Assigner) stepHotKeys(s *service) {
	if a.now.Before(s.hot.nextDecisionAt) {
		return
	}
	a.dropStaleHotStats(s)
	a.demoteHotKeys(s)
	a.drainHotKeys(s)
	if a.rebalanceHotKeys(s) {
		s.hot.nextDecisionAt = a.now.Add(hotDecisionInterval)
	}
}

func (a *Assigner) dropStaleHotStats(s *service) {
	for k, st := range s.hot.stats {
		if a.now.Sub(st.reportedAt) > hotReportMaxAge && st.promotedRate == 0 {
			delete(s.hot.stats, k)
		}
	}
}

// demoteHotKeys starts to return keys that are no longer hot to their slices.
func (a *Assigner) demoteHotKeys(s *service) {
	for slot, h := range a.builder.Service(s.name).Hot() {
		if h.Key == "" {
			continue
		}
		st := s.hot.stats[h.Key]
		if st == nil { // promoted by a previous controller
			st = &hotStat{lastHotAt: a.now}
			s.hot.stats[h.Key] = st
		}
		if st.promotedRate == 0 {
			st.promotedRate = max(st.rate, 1)
		}
		if a.now.Sub(st.reportedAt) <= hotReportMaxAge && st.rate >= hotDemotionRatio*st.promotedRate {
			st.lastHotAt = a.now
		}
		id := topo.SliceID(s.slices) + topo.SliceID(slot)
		if a.now.Sub(st.lastHotAt) >= hotDemotionDelay && h.Phase == slicemap.Serving && s.movable(id, a.now) {
			a.startMove(s, id, &activeMove{to: slicemap.NoOwner, cause: CauseHotKeyEnded, demote: true})
			delete(s.hot.stats, h.Key)
		}
	}
}

// drainHotKeys starts to move hot keys away from servers that must get no new
// requests.
func (a *Assigner) drainHotKeys(s *service) {
	for slot, h := range a.builder.Service(s.name).Hot() {
		id := topo.SliceID(s.slices) + topo.SliceID(slot)
		if h.Key == "" || h.Phase != slicemap.Serving || !s.movable(id, a.now) {
			continue
		}
		if v := s.servers[h.Owner]; v.available || v.lost {
			continue
		}
		if to, ok := s.leastLoaded(slicemap.NoOwner); ok {
			a.startMove(s, id, &activeMove{to: to, cause: CauseLeaving})
		}
	}
}

func (a *Assigner) placeFreeHotKeys(s *service) {
	for slot, h := range a.builder.Service(s.name).Hot() {
		if h.Key == "" || h.Phase != slicemap.Unowned {
			continue
		}
		if to, ok := s.leastLoaded(slicemap.NoOwner); ok {
			id := topo.SliceID(s.slices) + topo.SliceID(slot)
			a.record(s, Assigned, CauseLost, slicemap.NoOwner, to, id)
			a.assign(s, id, to)
		}
	}
}

func (v *server) load() float64 { return v.rate / float64(v.slots) }

func (s *service) leastLoaded(except uint16) (uint16, bool) {
	best, ok := slicemap.NoOwner, false
	for i, v := range s.servers {
		if v.available && uint16(i) != except && (!ok || v.load() < s.servers[best].load()) {
			best, ok = uint16(i), true
		}
	}
	return best, ok
}

// rebalanceHotKeys moves the hot key of the most loaded server that lowers the
// highest load the most. It reports whether there was such a key.
func (a *Assigner) rebalanceHotKeys(s *service) bool {
	top, mean := s.mostLoaded()
	if top == slicemap.NoOwner {
		return false
	}
	highest := s.servers[top].load()
	to, ok := s.leastLoaded(top)
	if !ok || highest < minHotImbalance*mean {
		return false
	}
	bestKey, bestLoad := "", highest*(1-minHotGain)
	for _, k := range s.hotCandidates(a.now, top) {
		st := s.hot.stats[k]
		if s.exceedsCapacity(st.rate) || !a.hotKeyMovable(s, k, top) {
			continue
		}
		donorLoad := highest - st.rate/float64(s.servers[top].slots)
		recipientLoad := s.servers[to].load() + st.rate/float64(s.servers[to].slots)
		if l := max(donorLoad, recipientLoad); l < bestLoad {
			bestKey, bestLoad = k, l
		}
	}
	if bestKey == "" {
		return false
	}
	a.moveHotKey(s, bestKey, to)
	return true
}

// mostLoaded returns the available server with the highest load and the mean load
// of all available servers.
func (s *service) mostLoaded() (uint16, float64) {
	top, sum, n := slicemap.NoOwner, 0.0, 0
	for i, v := range s.servers {
		if !v.available {
			continue
		}
		sum += v.load()
		n++
		if top == slicemap.NoOwner || v.load() > s.servers[top].load() {
			top = uint16(i)
		}
	}
	return top, sum / float64(max(n, 1))
}

func (s *service) hotCandidates(now time.Time, i uint16) []string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.hot.stats)) {
		st := s.hot.stats[k]
		if st.server == i && st.reports >= minHotReports && now.Sub(st.reportedAt) <= hotReportMaxAge {
			out = append(out, k)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(s.hot.stats[y].rate, s.hot.stats[x].rate)
	})
	return out
}

// exceedsCapacity reports whether the rate of a single key is above the capacity
// of every available server. Moving such a key would only overload another server.
func (s *service) exceedsCapacity(rate float64) bool {
	if s.hot.maxRatePerSlot == 0 {
		return false
	}
	most := 0
	for _, v := range s.servers {
		if v.available {
			most = max(most, v.slots)
		}
	}
	return rate > s.hot.maxRatePerSlot*float64(most)
}

// hotKeyMovable reports whether the server owns the key and a move of the key, or
// of its slice if the key has no entry of its own, may start.
func (a *Assigner) hotKeyMovable(s *service, key string, owner uint16) bool {
	r := a.table.Service(s.name)
	if r == nil {
		return false
	}
	route := r.Lookup(key)
	e := a.builder.Entry(s.name, route.Slice)
	return e.Owner == owner && e.Phase == slicemap.Serving && s.movable(route.Slice, a.now)
}

// moveHotKey moves a hot key. If the key has no owner of its own yet, the whole
// slice is drained first, because only a new fence of the slice ensures that its
// owner rejects late requests for the key.
func (a *Assigner) moveHotKey(s *service, key string, to uint16) {
	id := a.table.Service(s.name).Lookup(key).Slice
	st := s.hot.stats[key]
	owner := a.builder.Entry(s.name, id).Owner
	if uint32(id) >= s.slices {
		a.startMove(s, id, &activeMove{to: to, cause: CauseHotKey})
	} else if s.freeHotSlot(a.builder.Service(s.name)) >= 0 {
		a.startMove(s, id, &activeMove{to: owner, cause: CauseHotKey, split: &split{key, to}})
	} else {
		return
	}
	s.servers[owner].rate -= st.rate
	s.servers[to].rate += st.rate
	st.reports = 0
}

func (s *service) freeHotSlot(t *slicemap.Service) int {
	for i, h := range t.Hot() {
		if h.Key == "" {
			return i
		}
	}
	if n := len(t.Hot()); n < slicemap.MaxHot {
		return n
	}
	return -1
}

// finishSplit assigns the hot key of a drained slice to its new owner, unless the
// owner is unavailable, the key already has an entry or no hot slot is free.
func (a *Assigner) finishSplit(s *service, m *activeMove) {
	slot := s.freeHotSlot(a.builder.Service(s.name))
	known := slices.ContainsFunc(a.builder.Service(s.name).Hot(), func(h slicemap.Hot) bool { return h.Key == m.split.key })
	if slot < 0 || known || !s.servers[m.split.to].available {
		return
	}
	a.builder.SetHot(s.name, slot, slicemap.Hot{Key: m.split.key, Entry: slicemap.Entry{
		Fence: a.nextVersion(), Owner: m.split.to, Next: slicemap.NoOwner, Phase: slicemap.Serving}})
	id := topo.SliceID(s.slices) + topo.SliceID(slot)
	a.record(s, Assigned, CauseHotKey, m.from, m.split.to, id)
	if st := s.hot.stats[m.split.key]; st != nil {
		st.promotedRate, st.lastHotAt, st.reportedAt = st.rate, a.now, a.now
	}
}

package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/authority"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// watchWait is how long the store holds one watch call open when nothing
	// changes.
	watchWait = 800 * time.Millisecond
	// watchTimeout bounds one watch call. It exceeds watchWait to allow for a
	// slow store.
	watchTimeout = watchWait + 400*time.Millisecond
	// maxStoreResponseAge is the maximum age of the last store response on
	// which the controller may attest that its configuration is current.
	maxStoreResponseAge = time.Second
	// watchRetryDelay separates attempts while the store fails.
	watchRetryDelay = 100 * time.Millisecond
)

// storeWatchState is the state of the controller's watch on the store.
type storeWatchState struct {
	// asOf is the latest time at which the published configuration was known to
	// be current.
	asOf time.Time
	// failing is true while calls to the store fail.
	failing bool
	// roster lists the witnesses of the cell, including this VM if it is one.
	roster []topo.VMID
}

// freshness reports whether the published configuration may be attested as
// current, and whether VMs should probe the store. It also counts as current if a
// majority of the roster, including this VM, cannot reach the store and no
// member reports that it can: no member can then learn of a change in the store.
// While a term is rebuilding, only a response from the store shows that the
// configuration is current, because a VM that has not reported yet may have a
// newer one.
func (s *storeWatchState) freshness(now time.Time, self topo.VMID, probes map[topo.VMID]peerpb.StoreProbe, rebuilding bool) (fresh, probe bool) {
	if !s.asOf.IsZero() && now.Sub(s.asOf) <= maxStoreResponseAge {
		return true, s.failing
	}
	if !s.failing || rebuilding {
		return false, true
	}
	unreachable := 0
	for _, id := range s.roster {
		if id == self || probes[id] == peerpb.StoreProbe_STORE_PROBE_UNREACHABLE {
			unreachable++
		}
		if probes[id] == peerpb.StoreProbe_STORE_PROBE_REACHABLE {
			return false, true
		}
	}
	return unreachable >= len(s.roster)/2+1, true
}

// watchConfig keeps the configuration up to date until ctx ends.
func (c *controller) watchConfig(ctx context.Context) {
	prefix := config.EnvPrefix(c.node.cfg.Environment)
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = c.list(ctx, prefix)
			listed = err == nil
		} else {
			err = c.poll(ctx, prefix)
			listed = !errors.Is(err, store.ErrCompacted)
		}
		if ctx.Err() != nil {
			return // a call cancelled at the end of a term is not an outage
		}
		c.setStoreFailing(err)
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
}

// setStoreFailing records whether the last store call failed, and logs when
// calls start to fail and when they succeed again.
func (c *controller) setStoreFailing(err error) {
	roster := c.node.roster()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeWatch.roster = roster
	if failing := err != nil; failing != c.storeWatch.failing {
		c.storeWatch.failing = failing
		c.log.Warn().Err(err).Str("event", "store_state").Bool("failing", failing).Send()
	}
}

func (c *controller) list(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := time.Now()
	list, err := c.node.cfg.Store.List(ctx, prefix)
	if err != nil {
		return errors.Trace(err)
	}
	c.applyConfig(config.FullCopy(list), sent)
	return nil
}

func (c *controller) poll(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	from := c.pub.revision()
	sent := time.Now()
	changes, err := c.node.cfg.Store.Watch(ctx, prefix, from, watchWait)
	if err != nil {
		return errors.Trace(err)
	}
	asOf := sent
	if len(changes.Events) == 0 {
		// The watch ended without a change, so the configuration was current
		// until the end of the wait.
		asOf = sent.Add(min(time.Since(sent), watchWait))
	}
	c.applyConfig(config.Delta{From: from, To: changes.Revision, Events: changes.Events}, asOf)
	return nil
}

// applyConfig applies a configuration change and publishes it. asOf is a time
// at which the resulting configuration was current; the zero time leaves the
// freshness unchanged.
func (c *controller) applyConfig(d config.Delta, asOf time.Time) {
	view := c.pub.view()
	if d.To > view.Revision() {
		next, err := view.Apply(d)
		if err != nil {
			c.log.Error().Err(err).Msg("cannot apply the configuration change")
			return
		}
		c.configure(next)
		c.pub.setView(next, d)
		view = next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A response with a revision older than the published one does not show that
	// the published configuration is current.
	if d.To >= view.Revision() && asOf.After(c.storeWatch.asOf) {
		c.storeWatch.asOf = asOf
	}
}

// roster returns the witnesses in the newest cell object known to this VM.
func (n *Node) roster() []topo.VMID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor.Cell().Roster.Members
}

func (n *Node) encodedCell() ([]byte, error) {
	n.mu.Lock()
	cell := n.successor.Cell()
	n.mu.Unlock()
	if cell.BaseTerm == 0 {
		return nil, errors.NotFoundf("cell object")
	}
	return cell.Encode()
}

// cellCheckInterval is how often the controller checks whether the cell object
// needs other successors or witnesses.
const cellCheckInterval = time.Second

// maintainCell keeps the successors and the roster in the cell object up to
// date until ctx ends.
func (c *controller) maintainCell(ctx context.Context) {
	for sleep(ctx, cellCheckInterval) {
		now := time.Now()
		c.node.mu.Lock()
		valid, canChangeRoster, cell := c.holder.Valid(now), c.holder.CanChangeRoster(now), c.node.successor.Cell()
		c.node.mu.Unlock()
		if !valid {
			continue
		}
		next, ok := c.nextCell(cell, canChangeRoster)
		if !ok {
			continue
		}
		c.writeNextCell(ctx, cell, next)
	}
}

// nextCell returns the cell object that should replace cell, and whether a
// change is needed. It changes the roster only if canChangeRoster is true.
func (c *controller) nextCell(cell authority.Cell, canChangeRoster bool) (authority.Cell, bool) {
	self := c.node.self
	live := c.candidates()
	successors := authority.ChooseSuccessors(authority.Candidate{Process: self, DataCentre: c.node.cfg.VM.DataCentre}, live, cell.Successors)
	if cell.Holder != self || !sameProcesses(successors, cell.Successors) {
		return cell.Claim(self, successors), true
	}
	roster, change := authority.NextRoster(cell.Roster, append(live, authority.Candidate{Process: self, DataCentre: c.node.cfg.VM.DataCentre}))
	if !change || !canChangeRoster {
		return cell, false
	}
	next, err := cell.ChangeRoster(roster)
	return next, err == nil
}

func sameProcesses(a, b []authority.Process) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// candidates returns the VMs that hold a lease, except this one.
func (c *controller) candidates() []authority.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var live []authority.Candidate
	for id, m := range c.members {
		if id != c.node.cfg.VM.ID && now.Before(m.leaseEnd) {
			live = append(live, authority.Candidate{Process: authority.Process{VM: id, Boot: m.bootID}, DataCentre: m.vm.DataCentre})
		}
	}
	return live
}

func (c *controller) writeNextCell(ctx context.Context, from, next authority.Cell) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.node.writeCell(ctx, func(cell authority.Cell) (authority.Cell, bool) {
		return next, cell.BaseTerm == from.BaseTerm
	})
	cell := c.node.currentCell()
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if cell.Roster.Version != c.holder.Roster().Version {
		if err := c.holder.SetRoster(time.Now(), cell.Roster); err != nil {
			c.log.Warn().Err(err).Msg("cannot adopt the new roster")
		}
	}
}

func (n *Node) currentCell() authority.Cell {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor.Cell()
}

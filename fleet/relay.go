package fleet

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/clock"
	"godwitlock.example/godwitlock/directory"
	"godwitlock.example/godwitlock/fleet/fleetpb"
	"godwitlock.example/godwitlock/view"
)

// Relay describes how a VM stands in for a leader that does not answer: it reads the
// store itself and tells other VMs the configuration and the directory, so that not
// all of them have to read the store.
type Relay struct {
	// Boot identifies the process.
	Boot string
	// Fresh reports whether this VM reads the store at present and had a response
	// recently enough.
	Fresh func() bool
}

// ErrNoRelay is returned when the VM that was called neither leads nor relays.
const ErrNoRelay = errors.ConstError("neither the leader nor a relay")

// relayTerm stands for the term in the responses of a relay, which has none.
const relayTerm = 0

// relay answers a Follow call while this VM does not lead.
func (h *Hub) relay(ctx context.Context, req *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	if h.Relay == nil || !h.Relay.Fresh() {
		return &fleetpb.FollowResponse{}, nil
	}
	known := &fleetpb.FollowRequest{ConfigRev: req.GetConfigRev(), ServersRev: req.GetServersRev(), Term: relayTerm, ConfigVersion: req.GetConfigVersion()}
	if req.GetRelayBoot() == h.Relay.Boot {
		known.DirectoryVersion = req.GetRelayVersion()
	}
	timer := time.NewTimer(min(millis(req.GetWaitMs()), FollowWait))
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := h.view.Changed()
		if h.lacksConfigOrDirectory(known, relayTerm) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	out := &fleetpb.FollowResponse{Relays: true, Boot: h.Relay.Boot}
	h.relayRollouts(out)
	if err := h.fillStoreState(out, known, relayTerm); err != nil {
		return nil, err
	}
	return out, nil
}

// relayState is what a follower knows of the relay that it called last.
type relayState struct {
	boot             string
	directoryVersion uint64
	lastResponse     time.Time
	storeContact     time.Time
}

// RelayContact returns the time of the last response of a relay and, as of that
// response, the time at which the store last responded to the relay.
func (f *Follower) RelayContact() (lastResponse, storeContact time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay.lastResponse, f.relay.storeContact
}

// FollowCandidate calls a VM that may have become the leader or that may be a relay,
// and applies its response to the view. The error is ErrNoRelay if it is neither.
func (f *Follower) FollowCandidate(ctx context.Context, m view.Member) error {
	conn, err := f.peers.Conn(m.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, FollowWait+followTimeoutMargin)
	defer cancel()
	req := f.request(false)
	f.mu.Lock()
	req.RelayBoot, req.RelayVersion = f.relay.boot, f.relay.directoryVersion
	f.mu.Unlock()
	sent := clock.Boot()
	resp, err := fleetpb.NewFleetClient(conn).Follow(ctx, req)
	switch {
	case err != nil:
		return errors.Annotatef(err, "Follow call to the candidate at %s", m.Addr)
	case resp.GetLeads():
		return f.apply(m, resp, sent)
	case !resp.GetRelays():
		return errors.Annotatef(ErrNoRelay, "VM at %s", m.Addr)
	}
	return f.applyRelay(resp, sent)
}

func (f *Follower) applyRelay(resp *fleetpb.FollowResponse, sent time.Time) error {
	f.applyRollouts(resp, sent)
	if err := f.applyStoreState(resp); err != nil {
		return err
	}
	f.view.Confirm(sent.Add(-millis(resp.GetAgeMs())))
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay = relayState{
		boot: resp.GetBoot(), directoryVersion: resp.GetDirectoryVersion(),
		lastResponse: now, storeContact: now.Add(-millis(resp.GetStoreAgeMs())),
	}
	return nil
}

// applyStoreState applies the configuration and the directory of a response.
func (f *Follower) applyStoreState(resp *fleetpb.FollowResponse) error {
	if len(resp.GetConfigGzip()) > 0 {
		raw, err := decompress(resp.GetConfigGzip())
		if err != nil {
			return err
		}
		if err := f.setConfig(raw, resp.GetConfigRev()); err != nil {
			return err
		}
		if err := f.adoptNewer(raw, resp.GetConfigVersion()); err != nil {
			return err
		}
	}
	f.view.HearVersion(resp.GetConfigVersion())
	f.wantsConfig.Store(resp.GetWantsConfig())
	now := clock.Boot()
	learnContact(f.StoreContact, now, resp.GetStoreContact())
	if resp.GetWantsStoreContact() {
		f.wantsContact.Store(true)
	}
	f.view.Directory(func(d *directory.Directory) {
		if resp.GetServersRev() > 0 {
			applyDirectory(d, resp, now)
		}
		d.Expire(now)
	})
	return nil
}

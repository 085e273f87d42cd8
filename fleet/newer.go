package fleet

import (
	"time"

	"godwitlock.example/godwitlock/fleet/fleetpb"
)

// askConfigInterval is the shortest time between two requests for a newer configuration.
// All VMs may have it, and one answer is enough.
const askConfigInterval = 250 * time.Millisecond

// takeConfig records the version of the configuration that a caller has in force, and puts
// the configuration in force if the caller sent it. A store that came back from an older
// copy may lack a version that VMs know, and this process may have started since.
func (h *Hub) takeConfig(req *fleetpb.FollowRequest) {
	h.view.HearVersion(req.GetConfigVersion())
	if len(req.GetConfigGzip()) == 0 || h.AdoptConfig == nil || req.GetConfigVersion() <= h.view.ConfigVersion() {
		return
	}
	raw, err := decompress(req.GetConfigGzip())
	if err == nil {
		// One that cannot be read is asked for again.
		_ = h.AdoptConfig(raw)
	}
}

// lacksVersion reports whether this VM has a configuration of a higher version than the
// caller. A VM of an earlier release has one and names no version.
func (h *Hub) lacksVersion(req *fleetpb.FollowRequest) bool {
	unnamed := req.GetConfigVersion() == 0 && req.GetConfigRev() > 0
	return !unnamed && h.view.ConfigVersion() > req.GetConfigVersion()
}

// mayAskConfig reports whether the caller may be asked for its configuration. The caller of
// the method holds h.mu.
func (h *Hub) mayAskConfig(now time.Time, req *fleetpb.FollowRequest) bool {
	return h.AdoptConfig != nil && req.GetConfigVersion() > h.view.ConfigVersion() && now.Sub(h.configAsked) >= askConfigInterval
}

// wantsConfig reports whether the caller is asked for its configuration.
func (h *Hub) wantsConfig(now time.Time, req *fleetpb.FollowRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayAskConfig(now, req) {
		return false
	}
	h.configAsked = now
	return true
}

// adoptNewer puts the configuration of a response in force if its version is higher than
// that in force; the revision of the store may say otherwise.
func (f *Follower) adoptNewer(raw []byte, version int64) error {
	if f.AdoptConfig == nil || version <= f.view.ConfigVersion() {
		return nil
	}
	return f.AdoptConfig(raw)
}

// addNewerConfig adds the configuration to a request if the called VM asked for it.
func (f *Follower) addNewerConfig(req *fleetpb.FollowRequest) {
	req.ConfigVersion = f.view.ConfigVersion()
	if !f.wantsConfig.Load() {
		return
	}
	raw, rev := f.view.Config()
	if data, err := f.compressor.compress(raw, rev, req.ConfigVersion); err == nil {
		req.ConfigGzip = data
	}
}

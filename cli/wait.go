package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const (
	// waitPollInterval is the pause between two polls of the VMs' status.
	waitPollInterval = 100 * time.Millisecond
	// adminTimeout bounds one request to a VM's admin address.
	adminTimeout = 2 * time.Second
	// maxAdminResponseBytes bounds the response body of an admin address.
	maxAdminResponseBytes = 4 << 20
)

// awaitInForce waits until every VM with a lease has applied a written change,
// and returns the revision that it waited for. It returns a notInForceError if
// -wait-timeout passes or ctx is cancelled first.
func (s *session) awaitInForce(ctx context.Context, r receipt) (topo.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout)
	defer cancel()
	var revision topo.Revision
	lastState := ""
	for {
		state, done := "", false
		var err error
		if revision == 0 {
			if revision, err = s.writtenRevision(ctx, r); err != nil {
				state = "cannot read the revision of the change from the platform: " + err.Error()
			}
		}
		if revision != 0 {
			state, done = rolloutProgress(s.fetchStatuses(ctx), revision)
		}
		if ctx.Err() != nil && !done {
			if lastState == "" {
				lastState = "no VM reported its status"
			}
			if errors.Is(ctx.Err(), context.Canceled) {
				return revision, &notInForceError{lastState + " when interrupted"}
			}
			return revision, &notInForceError{fmt.Sprintf("%s after %v", lastState, s.waitTimeout)}
		}
		if state != lastState {
			s.progress("%s", state)
			lastState = state
		}
		if done {
			return revision, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(waitPollInterval):
		}
	}
}

// writtenRevision returns a store revision at which the change is visible. If
// the object was changed again since, that is the later revision; waiting for it
// is stricter but still correct. A deleted object has no revision of its own, so
// the current revision of the store is used.
func (s *session) writtenRevision(ctx context.Context, r receipt) (topo.Revision, error) {
	obj, err := s.operator.Store.Get(ctx, r.Key)
	if err == nil {
		return obj.Revision, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	list, err := s.operator.Store.List(ctx, config.EnvPrefix(s.env))
	return list.Revision, err
}

// vmStatus is the status that one admin address returned, or the error of the
// request.
type vmStatus struct {
	Addr  string          `json:"admin"`
	Error string          `json:"error,omitempty"`
	State *control.Status `json:"status,omitempty"`
}

// rolloutProgress describes which VMs have applied a revision according to the
// controller. It is done when at least one VM holds a lease and all VMs that hold
// one have applied the revision.
func rolloutProgress(statuses []vmStatus, revision topo.Revision) (state string, done bool) {
	ctrl := currentController(statuses)
	if ctrl == nil {
		return "no VM at the given admin addresses is controller", false
	}
	applied := 0
	var behind []string
	for _, m := range ctrl.Members {
		if m.ConfigRevision >= revision {
			applied++
		} else {
			behind = append(behind, string(m.VM))
		}
	}
	state = fmt.Sprintf("revision %d is applied by %d of %d VMs with a lease", revision, applied, len(ctrl.Members))
	if len(behind) > 0 {
		state += ", not by " + strings.Join(sorted(behind), ", ")
	}
	return state, applied > 0 && len(behind) == 0
}

// currentController returns the status of the controller with the highest term,
// or nil. A former controller may still report that it is controller until it
// learns that it lost its authority.
func currentController(statuses []vmStatus) *control.Status {
	var current *control.Status
	for _, st := range statuses {
		if st.State != nil && st.State.IsController && (current == nil || st.State.Term > current.Term) {
			current = st.State
		}
	}
	return current
}

// fetchStatuses requests the status of all admin addresses concurrently.
func (s *session) fetchStatuses(ctx context.Context) []vmStatus {
	addrs := s.adminAddrs()
	out := make([]vmStatus, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			out[i].Addr = addr
			state := &control.Status{}
			if err := adminGet(ctx, addr, "/status", state); err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].State = state
		})
	}
	wg.Wait()
	return out
}

// errNotFound reports that a VM answered an admin request with HTTP status 404, as
// for an unknown service.
const errNotFound = errors.ConstError("not found")

// adminGet requests a path from an admin address and decodes the JSON response
// into out.
func adminGet(ctx context.Context, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	switch {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusNotFound:
		return errNotFound
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("unexpected HTTP status %d (expected 200)", resp.StatusCode)
	}
	return json.Unmarshal(data, out)
}

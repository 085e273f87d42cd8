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
	// waitPollInterval separates two looks at the VMs' state.
	waitPollInterval = 100 * time.Millisecond
	// adminTimeout bounds one call to a VM's admin address.
	adminTimeout = 2 * time.Second
	// maxAdminResponseBytes bounds an answer of an admin address.
	maxAdminResponseBytes = 4 << 20
)

// awaitInForce waits until every VM with a lease has applied a written change.
// It returns the revision waited for.
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
				state = "the platform does not tell the revision of the change: " + err.Error()
			}
		}
		if revision != 0 {
			state, done = rolloutProgress(s.fetchStatuses(ctx), revision)
		}
		if ctx.Err() != nil && !done {
			if lastState == "" {
				lastState = "no VM told its state"
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

// writtenRevision returns a revision of the store from which on the change is
// visible. A later change of the same object has a higher one, which is only
// stricter.
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

// vmStatus is the answer of one admin address.
type vmStatus struct {
	Addr  string          `json:"admin"`
	Error string          `json:"error,omitempty"`
	State *control.Status `json:"status,omitempty"`
}

// rolloutProgress tells from the controller's view which VMs have applied a
// revision. Done means all that hold a lease, and at least one.
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

// currentController returns the status of the controller with the highest term: a
// former one may not know yet that it lost its authority.
func currentController(statuses []vmStatus) *control.Status {
	var current *control.Status
	for _, st := range statuses {
		if st.State != nil && st.State.IsController && (current == nil || st.State.Term > current.Term) {
			current = st.State
		}
	}
	return current
}

// fetchStatuses asks all admin addresses at once.
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

// errNotFound is an admin address's answer that it does not know a name.
const errNotFound = errors.ConstError("not found")

// adminGet reads JSON from an admin address.
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
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(data, out)
}

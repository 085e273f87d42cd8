package home

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/execution"
	"godwitlock.example/godwitlock/grants"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

const (
	// transferTimeout bounds the transfer of a history. Exactly-once requests
	// of the slices wait for the transfer. If it fails, requests whose key is
	// older than the new history are refused with history_lost.
	transferTimeout = 250 * time.Millisecond
	// transferRetryDelay is the delay between attempts while a request is in
	// progress at the previous home VM.
	transferRetryDelay = 20 * time.Millisecond
	// retiredTTL is how long a history is kept for the next home VM. It exceeds
	// the time that VM needs to learn of its new server.
	retiredTTL = 10 * time.Second
)

// retiredHistory is the history of a server that has moved to another home VM.
type retiredHistory struct {
	once      *exactlyOnce
	retiredAt time.Time
}

// ownerLocation identifies the server that owned a slice last, and its home VM.
type ownerLocation struct {
	server topo.ServerID
	vm     topo.VMID
	addr   string
}

// ownerIndex stores the last owner of every slice, by service. The routing
// table itself does not retain the owner while a slice is unowned.
type ownerIndex map[topo.ServiceName][]*ownerLocation

func (x ownerIndex) update(t *slicemap.Table) {
	for _, name := range t.Services() {
		svc := t.Service(name)
		n := int(svc.Slices()) + len(svc.Hot())
		for len(x[name]) < n {
			x[name] = append(x[name], nil)
		}
		locations := make([]*ownerLocation, len(svc.Servers()))
		for i, s := range svc.Servers() {
			if s.Home != "" {
				locations[i] = &ownerLocation{server: s.ID, vm: s.Home, addr: s.HomeAddr}
			}
		}
		for id := range n {
			if owner := int(svc.Entry(topo.SliceID(id)).Owner); owner < len(locations) && locations[owner] != nil {
				x[name][id] = locations[owner]
			}
		}
	}
}

func (x ownerIndex) lastOwner(name topo.ServiceName, id topo.SliceID) ownerLocation {
	if int(id) < len(x[name]) && x[name][id] != nil {
		return *x[name][id]
	}
	return ownerLocation{}
}

// fetchHistories starts the transfer of the histories that the slices of want
// need. m.mu is held, and m.owners still holds the owners of the previous
// table. They are the immediate predecessors, since no table version was
// skipped; after a skipped version m.owners is empty.
func (m *Manager) fetchHistories(a *agent, want *grants.Desired) {
	missing := a.once.setDesired(want)
	if len(missing) == 0 {
		return
	}
	now := time.Now()
	bySource := make(map[ownerLocation][]topo.SliceID)
	for _, id := range missing {
		from := m.owners.lastOwner(want.Service, id)
		bySource[from] = append(bySource[from], id)
	}
	for from, slices := range bySource {
		if from.server == "" {
			a.once.completeTransfer(slices, execution.Exported{}, now)
			continue
		}
		go func() {
			in, err := m.fetchHistory(from, slices)
			if err != nil {
				in = execution.Exported{}
			}
			a.once.completeTransfer(slices, in, now)
		}()
	}
}

// fetchHistory fetches the history of slices from the home VM of the server
// that owned them last. It retries while a request of the slices is in progress
// there.
func (m *Manager) fetchHistory(from ownerLocation, slices []topo.SliceID) (execution.Exported, error) {
	ctx, cancel := context.WithTimeout(m.ctx, transferTimeout)
	defer cancel()
	for {
		data, ok, err := m.requestHistory(ctx, from, slices)
		if err != nil {
			return execution.Exported{}, err
		}
		if ok {
			return decodeHistory(data)
		}
		sleep(ctx, transferRetryDelay)
		if ctx.Err() != nil {
			return execution.Exported{}, errors.Trace(ctx.Err())
		}
	}
}

func (m *Manager) requestHistory(ctx context.Context, from ownerLocation, slices []topo.SliceID) ([]byte, bool, error) {
	if from.vm != m.vm {
		return m.histories.History(ctx, from.addr, from.server, slices)
	}
	data, ok := m.ExportHistory(from.server, slices)
	return data, ok, nil
}

// ExportHistory removes the history of slices that server owned and returns it
// in encoded form. It returns false while a request of the slices is in
// progress, and nil and true if there is no history. It implements
// peer.Histories.
func (m *Manager) ExportHistory(server topo.ServerID, slices []topo.SliceID) ([]byte, bool) {
	m.mu.Lock()
	var once *exactlyOnce
	if a := m.agents[server]; a != nil {
		once = a.once
	} else if r, ok := m.retired[server]; ok {
		once = r.once
	}
	m.mu.Unlock()
	if once == nil {
		return nil, true
	}
	out, ok := once.export(slices)
	if !ok {
		return nil, false
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(out); err != nil {
		return nil, true
	}
	return buf.Bytes(), true
}

func decodeHistory(data []byte) (execution.Exported, error) {
	var in execution.Exported
	if len(data) == 0 {
		return in, nil
	}
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&in)
	return in, errors.Annotate(err, "decoding idempotency history")
}

// retire keeps the history of a server that has moved to another home VM, and
// deletes retired histories older than retiredTTL. m.mu is held.
func (m *Manager) retire(a *agent) {
	now := time.Now()
	for id, r := range m.retired {
		if now.Sub(r.retiredAt) > retiredTTL {
			delete(m.retired, id)
		}
	}
	m.retired[a.server] = retiredHistory{once: a.once, retiredAt: now}
}

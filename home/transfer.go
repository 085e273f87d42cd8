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
	// transferTimeout bounds the wait for a history. Exactly-once requests of
	// the slices wait meanwhile; without the history, those whose key is older
	// are refused with history_lost.
	transferTimeout = 250 * time.Millisecond
	// transferRetryDelay separates attempts while a request is in progress at the
	// earlier home VM.
	transferRetryDelay = 20 * time.Millisecond
	// retiredTTL is how long a history is kept for the next home VM, longer
	// than that one needs to hear of its new server.
	retiredTTL = 10 * time.Second
)

// retiredHistory is the history of a server that has another home VM now.
type retiredHistory struct {
	once      *exactlyOnce
	retiredAt time.Time
}

// ownerLocation is the server that held a slice last, and its home VM.
type ownerLocation struct {
	server topo.ServerID
	vm     topo.VMID
	addr   string
}

// ownerIndex remembers the last owner of every slice, by service. The table
// itself forgets it when a slice has no owner for a while.
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
// need. m.mu is held, and m.owners still holds the owners of the table before.
// The owners there are the immediate predecessors, since no version of the
// table was left out; otherwise m.owners is empty.
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

// fetchHistory gets the history of slices from the VM that was the home of the
// server which held them.
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

// ExportHistory gives the history of slices that server held away. It returns
// false while a request of them is in progress. It implements peer.Histories.
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
	return in, errors.Annotate(err, "history")
}

// retire keeps the history of a server that has another home VM now. m.mu is
// held.
func (m *Manager) retire(a *agent) {
	now := time.Now()
	for id, r := range m.retired {
		if now.Sub(r.retiredAt) > retiredTTL {
			delete(m.retired, id)
		}
	}
	m.retired[a.server] = retiredHistory{once: a.once, retiredAt: now}
}

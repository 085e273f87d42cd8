package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// OlderRevisionError rejects a delta whose target revision is below the applied
// revision.
type OlderRevisionError struct{ Have, Offered topo.Revision }

// Error implements error.
func (e *OlderRevisionError) Error() string {
	return fmt.Sprintf("configuration revision %d is older than the applied revision %d", e.Offered, e.Have)
}

// GapError rejects a delta that starts after the applied revision, so that
// changes in between are missing. The receiver has to request a full copy.
type GapError struct{ Have, From topo.Revision }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configuration delta starts at revision %d, after the applied revision %d", e.From, e.Have)
}

// Delta is the set of changes from one revision to another. A delta with From 0
// is a full copy: it replaces all objects.
type Delta struct {
	From, To topo.Revision
	Events   []store.Event
}

// FullCopy converts a listing of EnvPrefix into the delta that replaces all
// objects of a view.
func FullCopy(l store.Listing) Delta {
	d := Delta{To: l.Revision, Events: make([]store.Event, len(l.Objects))}
	for i, o := range l.Objects {
		d.Events[i] = store.Event{Object: o}
	}
	return d
}

// ObjectProblem describes a stored object that is invalid or conflicts with
// another one.
type ObjectProblem struct {
	Key string
	Err error
	// Effect describes how the configuration behaves until the object is
	// corrected.
	Effect string
}

// View is the effective configuration of an environment at a revision. It is
// immutable and safe for concurrent use.
//
// An invalid object does not block the others, because one of them may withdraw
// a caller key. Each class of object fails safe: for the document and the local
// overrides the last usable version stays in force, a customer is refused, a
// data centre is out of service, and a server is draining.
type View struct {
	env      string
	revision topo.Revision
	objects  map[string]store.Object

	parsedDoc   parsed[Document]
	parsedLocal parsed[Local]
	doc         *Document // effective document
	docObject   store.Object
	routes      routeTable
	services    map[topo.ServiceName]*Service
	servers     map[topo.ServerID]*topo.BackendServer
	customers   map[topo.CustomerID]*Customer
	dataCentres map[topo.DataCentreName]*DataCentreState
	draining    map[topo.ServerID]*Draining
	keys        *callerkey.Snapshot
	problems    map[string]ObjectProblem
}

// NewView returns the view of an environment without any objects, at revision
// 0. It has no routes and no customers, so that every request is refused.
func NewView(env string) *View {
	v := &View{env: env, doc: &Document{}, problems: map[string]ObjectProblem{}}
	v.doc.Limits.SetDefaults()
	v.reset()
	v.keys, _ = callerkey.NewSnapshot(env, nil)
	return v
}

// reset removes all objects. It keeps the parsed document and local overrides,
// which stay in force if their new versions are invalid.
func (v *View) reset() {
	v.objects = map[string]store.Object{}
	v.customers = map[topo.CustomerID]*Customer{}
	v.dataCentres = map[topo.DataCentreName]*DataCentreState{}
	v.draining = map[topo.ServerID]*Draining{}
	v.problems = map[string]ObjectProblem{}
}

// Apply returns the view after a delta; v itself does not change. It returns
// *OlderRevisionError for a delta to a lower revision and *GapError for one that
// starts after the applied revision. A delta may begin before the applied
// revision: events up to that revision are skipped. A delta to the applied
// revision returns v.
func (v *View) Apply(d Delta) (*View, error) {
	switch {
	case d.To < v.revision:
		return nil, &OlderRevisionError{Have: v.revision, Offered: d.To}
	case d.To == v.revision && v.revision > 0:
		return v, nil
	case d.From > v.revision:
		return nil, &GapError{Have: v.revision, From: d.From}
	case d.From > d.To:
		return nil, errors.NotValidf("configuration delta from revision %d to %d", d.From, d.To)
	}
	next := v.clone()
	if d.From == 0 {
		next.reset()
	}
	documentChanged, keysChanged := d.From == 0, d.From == 0
	for _, e := range d.Events {
		if d.From > 0 && e.Revision <= v.revision {
			continue
		}
		switch next.applyEvent(e) {
		case documentObject, localObject:
			documentChanged = true
		case customerObject:
			keysChanged = true
		}
	}
	next.revision = d.To
	if documentChanged {
		next.rebuildDocument()
	}
	if keysChanged {
		next.rebuildKeys()
	}
	return next, nil
}

func (v *View) clone() *View {
	c := *v
	c.objects = maps.Clone(v.objects)
	c.customers = maps.Clone(v.customers)
	c.dataCentres = maps.Clone(v.dataCentres)
	c.draining = maps.Clone(v.draining)
	c.problems = maps.Clone(v.problems)
	return &c
}

// applyEvent updates the view with one changed object and returns the object's
// class.
func (v *View) applyEvent(e store.Event) objectClass {
	class, name := classify(v.env, e.Key)
	if class == notConfigObject {
		return class
	}
	delete(v.problems, e.Key)
	if e.Deleted {
		delete(v.objects, e.Key)
	} else {
		v.objects[e.Key] = e.Object
	}
	switch class {
	case customerObject:
		v.applyCustomer(e, topo.CustomerID(name))
	case dataCentreObject:
		v.applyDataCentre(e, topo.DataCentreName(name))
	case drainingObject:
		v.applyDraining(e, topo.ServerID(name))
	}
	return class
}

func (v *View) addProblem(key string, err error, effect string) {
	v.problems[key] = ObjectProblem{Key: key, Err: err, Effect: effect}
}

func (v *View) applyCustomer(e store.Event, id topo.CustomerID) {
	delete(v.customers, id)
	if e.Deleted {
		return
	}
	c, err := DecodeCustomer(e.Value)
	if err == nil && c.ID != id {
		err = errors.NotValidf("customer id %q in the object of customer %q", c.ID, id)
	}
	if err != nil {
		v.addProblem(e.Key, err, "the customer is refused")
		return
	}
	v.customers[id] = c
}

func (v *View) applyDataCentre(e store.Event, name topo.DataCentreName) {
	delete(v.dataCentres, name)
	if e.Deleted {
		return
	}
	s, err := DecodeDataCentreState(e.Value)
	if err != nil {
		v.addProblem(e.Key, err, "the data centre is out of service")
		s = &DataCentreState{Out: true}
	}
	s.Name = name
	v.dataCentres[name] = s
}

func (v *View) applyDraining(e store.Event, id topo.ServerID) {
	delete(v.draining, id)
	if e.Deleted {
		return
	}
	d, err := DecodeDraining(e.Value)
	if err != nil {
		v.addProblem(e.Key, err, "the server is draining")
		d = &Draining{}
	}
	d.Server = id
	v.draining[id] = d
}

// rebuildKeys indexes the caller keys of all customers. Customers that share a
// key id are refused, because the key does not tell which of them is calling.
func (v *View) rebuildKeys() {
	owner := map[callerkey.ID]topo.CustomerID{}
	refused := map[topo.CustomerID]error{}
	for id, c := range v.customers {
		for _, k := range c.Keys {
			if other, ok := owner[k.ID]; ok {
				err := errors.AlreadyExistsf("caller key %s of customers %q and %q", k.ID, min(id, other), max(id, other))
				refused[id], refused[other] = err, err
			}
			owner[k.ID] = id
		}
	}
	records := map[topo.CustomerID][]callerkey.Record{}
	for id, c := range v.customers {
		if err := refused[id]; err != nil {
			v.addProblem(CustomerKey(v.env, id), err, "the customer is refused")
			continue
		}
		delete(v.problems, CustomerKey(v.env, id))
		records[id] = c.Keys
	}
	// The records are valid and unique, so no error is expected. If one occurs,
	// no key is accepted.
	keys, err := callerkey.NewSnapshot(v.env, records)
	if err != nil {
		keys, _ = callerkey.NewSnapshot(v.env, nil)
		v.addProblem(EnvPrefix(v.env)+customerPrefix, err, "all customers are refused")
	}
	v.keys = keys
}

// Problems returns the invalid and conflicting objects, sorted by key.
func (v *View) Problems() []ObjectProblem {
	ps := slices.Collect(maps.Values(v.problems))
	slices.SortFunc(ps, func(a, b ObjectProblem) int { return strings.Compare(a.Key, b.Key) })
	return ps
}

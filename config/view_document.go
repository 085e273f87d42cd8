package config

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

const effectKeepsLastUsable = "the last usable version stays in force"

// rebuildDocument parses the document and the local overrides if they have
// changed since they were last parsed, and merges them. On any error the
// effective document does not change.
func (v *View) rebuildDocument() {
	docKey, localKey := DocumentKey(v.env), LocalKey(v.env)
	docObject, haveDoc := v.objects[docKey]
	localObject, haveLocal := v.objects[localKey]
	delete(v.problems, docKey)
	delete(v.problems, localKey)
	docErr := v.parsedDoc.update(docObject, haveDoc, docKey, ParseDocument)
	if docErr != nil {
		v.addProblem(docKey, docErr, effectKeepsLastUsable)
	}
	localErr := v.parsedLocal.update(localObject, haveLocal, localKey, ParseLocal)
	if localErr != nil {
		v.addProblem(localKey, localErr, effectKeepsLastUsable)
	}
	if docErr == nil && localErr == nil {
		v.mergeDocument(docObject, haveDoc)
	}
}

// parsed holds the last valid value of an object and the object that it was
// parsed from.
type parsed[T any] struct {
	value *T
	from  store.Object
}

// update parses the object unless it is the one that was parsed last. It sets
// value to nil if the object does not exist, and keeps the last valid value if
// the object is invalid.
func (p *parsed[T]) update(o store.Object, exists bool, file string, parse func(string, []byte) (*T, error)) error {
	if !exists {
		*p = parsed[T]{}
		return nil
	}
	if p.value != nil && p.from.Version == o.Version && bytes.Equal(p.from.Value, o.Value) {
		return nil
	}
	value, err := parse(file, o.Value)
	if err != nil {
		return err
	}
	*p = parsed[T]{value: value, from: o}
	return nil
}

func (v *View) mergeDocument(docObject store.Object, haveDoc bool) {
	if !haveDoc {
		empty := &Document{}
		empty.Limits.SetDefaults()
		v.setDocument(empty, store.Object{})
		return
	}
	merged, err := Merge(DocumentKey(v.env), v.parsedDoc.value, v.parsedLocal.value)
	if err != nil {
		v.addProblem(DocumentKey(v.env), err, effectKeepsLastUsable)
		return
	}
	v.setDocument(merged, docObject)
}

// setDocument makes doc the effective document.
func (v *View) setDocument(doc *Document, from store.Object) {
	v.doc, v.docObject = doc, from
	v.routes = newRouteTable(doc.Routes)
	v.services = map[topo.ServiceName]*Service{}
	v.servers = map[topo.ServerID]*topo.BackendServer{}
	for i := range doc.Services {
		s := &doc.Services[i]
		v.services[s.Name] = s
		for j := range s.Servers {
			v.servers[s.Servers[j].ID] = &s.Servers[j]
		}
	}
}

// WithDocument returns the view that results from another document, so that Diff
// can show the changes before the document is written. v itself does not change.
// The error is of type Problems.
func (v *View) WithDocument(file string, data []byte) (*View, error) {
	doc, err := ParseDocument(file, data)
	if err != nil {
		return nil, err
	}
	merged, err := Merge(file, doc, v.parsedLocal.value)
	if err != nil {
		return nil, err
	}
	next := v.clone()
	next.setDocument(merged, store.Object{Key: DocumentKey(v.env), Value: data})
	return next, nil
}

// Env returns the name of the environment.
func (v *View) Env() string { return v.env }

// Revision returns the store revision up to which changes are applied.
func (v *View) Revision() topo.Revision { return v.revision }

// Document returns the effective document, with the local overrides applied. It
// must not be modified.
func (v *View) Document() *Document { return v.doc }

// DocumentVersion returns the version and the writer of the document in force,
// or 0 and "" if there is none.
func (v *View) DocumentVersion() (uint64, string) { return v.docObject.Version, v.docObject.Writer }

// Limits returns the limits in force.
func (v *View) Limits() Limits { return v.doc.Limits }

// Objects returns the stored objects behind the view, sorted by key, including
// invalid ones. Together they form a full copy for another VM.
func (v *View) Objects() []store.Object {
	return slices.SortedFunc(maps.Values(v.objects), func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
}

// Service returns the service with the name, or nil if there is none.
func (v *View) Service(name topo.ServiceName) *Service { return v.services[name] }

// Server returns the backend server with the id, or nil if there is none.
func (v *View) Server(id topo.ServerID) *topo.BackendServer { return v.servers[id] }

// Route returns the route with the longest matching path prefix among those that
// accept the method, or nil if there is none. The path must not contain "." or
// ".." segments. Route does not allocate.
func (v *View) Route(method, path string) *Route { return v.routes.match(method, path) }

// Customer returns the customer with the id, or nil if there is none.
func (v *View) Customer(id topo.CustomerID) *Customer { return v.customers[id] }

// Customers returns the ids of all customers, sorted.
func (v *View) Customers() []topo.CustomerID { return slices.Sorted(maps.Keys(v.customers)) }

// CustomerByKey returns the customer that owns the caller key with the id, or nil
// if there is none. The id is the prefix of the key's hash.
func (v *View) CustomerByKey(id callerkey.ID) *Customer {
	customer, _, ok := v.keys.Lookup(id)
	if !ok {
		return nil
	}
	return v.customers[customer]
}

// Keys returns the index of the caller keys of all customers.
func (v *View) Keys() *callerkey.Snapshot { return v.keys }

// DataCentreInService reports whether a data centre is in service. One without a
// stored state is.
func (v *View) DataCentreInService(name topo.DataCentreName) bool {
	s := v.dataCentres[name]
	return s == nil || !s.Out
}

// DataCentreState returns the stored state of a data centre, or nil if there is
// none.
func (v *View) DataCentreState(name topo.DataCentreName) *DataCentreState { return v.dataCentres[name] }

// Draining returns the drain order of a server, or nil if the server is not
// draining.
func (v *View) Draining(id topo.ServerID) *Draining { return v.draining[id] }

// AcceptsNewWork reports whether a server may receive new work: the server is
// configured and not draining, and its data centre is in service.
func (v *View) AcceptsNewWork(id topo.ServerID) bool {
	s := v.servers[id]
	return s != nil && v.draining[id] == nil && v.DataCentreInService(s.DataCentre)
}

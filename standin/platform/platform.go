// Package platform is a stand-in for the platform. It serves the object API and
// the list of VMs, which lags behind changes, over HTTP, as specified in
// docs/design.md section 6.3. Its faults can be switched on for tests and demos.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
)

// maxWatchWait is the longest time that one watch waits for changes.
const maxWatchWait = time.Minute

// Options configures a Platform.
type Options struct {
	// Store holds the objects; nil means a new, empty store.
	Store *memstore.Store
	// VMLag is how far the list of VMs lags behind SetVM and RemoveVM.
	VMLag time.Duration
}

// Counts is the number of calls received, by kind. A watch counts as one call,
// however long it waits. Refused and failed calls are included.
type Counts struct {
	Get, List, Put, Delete, Watch, VMs uint64
}

// Reads returns the number of calls that count towards the read rate of the
// platform.
func (c Counts) Reads() uint64 { return c.Get + c.List + c.Watch + c.VMs }

// Writes returns the number of calls that count towards the write rate of the
// platform.
func (c Counts) Writes() uint64 { return c.Put + c.Delete }

// Platform serves the object API. It is an http.Handler.
type Platform struct {
	st  *memstore.Store
	mux *http.ServeMux

	mu     sync.Mutex
	counts Counts
	vms    vmHistory
}

// New returns a platform that serves the objects of opts.Store.
func New(opts Options) *Platform {
	p := &Platform{st: opts.Store, mux: http.NewServeMux(), vms: vmHistory{lag: opts.VMLag}}
	if p.st == nil {
		p.st = memstore.New()
	}
	p.mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key...}", p.delete)
	p.mux.HandleFunc("GET /v1/objects", p.list)
	p.mux.HandleFunc("GET /v1/watch", p.watch)
	p.mux.HandleFunc("GET /v1/vms", p.listVMs)
	p.mux.HandleFunc("POST /faults", p.setFaults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Store returns the store that holds the objects. Direct calls to it are not
// counted.
func (p *Platform) Store() *memstore.Store { return p.st }

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f memstore.Faults) { p.st.SetFaults(f) }

// Counts returns the number of calls so far, by kind.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) count(field func(*Counts) *uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*field(&p.counts)++
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.Get })
	obj, err := p.st.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, obj, err)
		return
	}
	objectHeaders(w, obj)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.Put })
	ifVersion, writer, err := writeParams(r)
	if err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		err = store.ErrTooLarge
	case err != nil:
		err = errors.NewNotValid(err, "request body")
	}
	if err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	obj, err := p.st.Put(r.Context(), r.PathValue("key"), value, ifVersion, writer)
	respondToWrite(w, obj, err)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.Delete })
	ifVersion, writer, err := writeParams(r)
	if err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	obj, err := p.st.DeleteObject(r.Context(), r.PathValue("key"), ifVersion, writer)
	respondToWrite(w, obj, err)
}

func writeParams(r *http.Request) (ifVersion uint64, writer string, err error) {
	ifVersion, err = strconv.ParseUint(r.Header.Get(store.HeaderIfVersion), 10, 64)
	if err != nil {
		return 0, "", errors.NotValidf("header %s %q", store.HeaderIfVersion, r.Header.Get(store.HeaderIfVersion))
	}
	writer = r.Header.Get(store.HeaderWriter)
	if writer == "" {
		return 0, "", errors.NotValidf("empty header %s", store.HeaderWriter)
	}
	return ifVersion, writer, nil
}

func respondToWrite(w http.ResponseWriter, obj store.Object, err error) {
	if err != nil {
		writeError(w, obj, err)
		return
	}
	objectHeaders(w, obj)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.List })
	l, err := p.st.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	wire := store.WireListing{Objects: []store.WireObject{}, Revision: l.Revision}
	for _, o := range l.Objects {
		wire.Objects = append(wire.Objects, wireObject(o, false))
	}
	writeJSON(w, wire)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) *uint64 { return &c.Watch })
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		writeError(w, store.Object{}, errors.NotValidf("parameter after %q", q.Get("after")))
		return
	}
	waitMS, err := strconv.ParseUint(q.Get("wait_ms"), 10, 32)
	if err != nil {
		writeError(w, store.Object{}, errors.NotValidf("parameter wait_ms %q", q.Get("wait_ms")))
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	ch, err := p.st.Watch(r.Context(), q.Get("prefix"), topo.Revision(after), wait)
	if err != nil {
		writeError(w, store.Object{}, err)
		return
	}
	wire := store.WireChanges{Events: []store.WireObject{}, Revision: ch.Revision}
	for _, ev := range ch.Events {
		wire.Events = append(wire.Events, wireObject(ev.Object, ev.Deleted))
	}
	writeJSON(w, wire)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memstore.Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func wireObject(o store.Object, deleted bool) store.WireObject {
	return store.WireObject{Key: o.Key, Value: o.Value, Version: o.Version, Revision: o.Revision, Writer: o.Writer, Deleted: deleted}
}

func objectHeaders(w http.ResponseWriter, obj store.Object) {
	h := w.Header()
	h.Set(store.HeaderVersion, strconv.FormatUint(obj.Version, 10))
	h.Set(store.HeaderRevision, strconv.FormatUint(uint64(obj.Revision), 10))
	h.Set(store.HeaderWriter, obj.Writer)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with the status code for err. A lost response aborts the
// connection, so that the client cannot tell whether the write took effect.
func writeError(w http.ResponseWriter, obj store.Object, err error) {
	if errors.Is(err, memstore.ErrResponseLost) {
		panic(http.ErrAbortHandler)
	}
	code := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, store.ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		code = http.StatusConflict
		objectHeaders(w, obj)
	case errors.Is(err, store.ErrCompacted):
		code = http.StatusGone
	case errors.Is(err, store.ErrTooLarge):
		code = http.StatusRequestEntityTooLarge
	case errors.Is(err, store.ErrThrottled):
		code = http.StatusTooManyRequests
	case errors.Is(err, errors.NotValid):
		code = http.StatusBadRequest
	}
	http.Error(w, err.Error(), code)
}

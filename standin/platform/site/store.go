package site

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in a page of a listing. It is small so that
// tests get several pages.
const pageSize = 20

// Object is an object in the wire format of the store.
type Object struct {
	Metadata struct {
		Name string `json:"name"`
		Rev  uint64 `json:"rev"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
	// text, unless empty, is sent in place of the encoded object.
	text string
}

// encode returns the object as the store sends it. It does not check the spec, so
// that a store may hold what encoding/json refuses.
func (o Object) encode() string {
	if o.text != "" {
		return o.text
	}
	metadata, _ := json.Marshal(o.Metadata)
	return fmt.Sprintf(`{"metadata":%s,"spec":%s}`, metadata, o.Spec)
}

type event struct {
	Object    Object
	Tombstone bool
	kind      string
}

// Store is the metadata store. It is safe for concurrent use.
type Store struct {
	// PageBytes, unless 0, is the size of the objects after which a page of a listing
	// ends. It must be set before the first call.
	PageBytes int

	mu           sync.Mutex
	rev          uint64
	objects      map[string]map[string]Object
	events       []event
	compactedRev uint64
	era          uint64
	changed      chan struct{}
	fault        func(r *http.Request) Fault
}

// Copy is the content of a store at one moment.
type Copy struct {
	rev          uint64
	objects      map[string]map[string]Object
	events       []event
	compactedRev uint64
}

// Fault describes what happens to a call.
type Fault struct {
	// Status, if not 0, is returned without carrying out the call.
	Status int
	// DropResponse carries out the call and closes the connection without a
	// response.
	DropResponse bool
	// Delay is how long the call waits before it is carried out.
	Delay time.Duration
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]map[string]Object), changed: make(chan struct{}), rev: 100}
}

// SetFault sets the function that selects the fault for each call; nil ends all
// faults.
func (s *Store) SetFault(f func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Compact drops the event history, so that watches from earlier revisions fail
// and their clients have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedRev = nil, s.rev
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rev: s.rev, objects: cloneObjects(s.objects), events: slices.Clone(s.events), compactedRev: s.compactedRev}
}

// Restore replaces the content by an earlier copy and begins a new era. The
// revisions after that of the copy are given out again. Waiting watches are cut.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.objects, s.events, s.compactedRev = c.rev, cloneObjects(c.objects), slices.Clone(c.events), c.compactedRev
	s.era++
	s.notify()
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		out[kind] = maps.Clone(named)
	}
	return out
}

// Put writes an object, as the operator or a backend server does. It panics if
// spec cannot be encoded.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.PutText(kind, name, string(data))
}

// PutText writes an object with the given text as its spec, as another program may.
// The text need not be valid JSON.
func (s *Store) PutText(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, []byte(spec))
}

// PutObjectText writes an object that lists and watches return as the given text.
// RevisionMark in the text stands for the revision of the object.
func (s *Store) PutObjectText(kind, name, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(kind, name, []byte(text), func(rev uint64) string {
		return strings.ReplaceAll(text, RevisionMark, strconv.FormatUint(rev, 10))
	})
}

// RevisionMark stands for the revision in the text of PutObjectText.
const RevisionMark = "$rev"

func (s *Store) put(kind, name string, spec []byte) Object {
	o := s.objects[kind][name]
	if o.Metadata.Rev > 0 && string(o.Spec) == string(spec) {
		return o
	}
	return s.replace(kind, name, spec, func(uint64) string { return "" })
}

// replace writes an object under the next revision.
func (s *Store) replace(kind, name string, spec []byte, text func(rev uint64) string) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.rev++
	o := Object{Spec: spec, text: text(s.rev)}
	o.Metadata.Name, o.Metadata.Rev = name, s.rev
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *Store) record(e event) {
	s.events = append(s.events, e)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Rev, o.text = s.rev, ""
	s.record(event{Object: o, Tombstone: true, kind: kind})
}

// Get returns the spec of an object, or nil if there is no such object.
func (s *Store) Get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faultFor := s.fault
	s.setEra(w)
	s.mu.Unlock()
	var f Fault
	if faultFor != nil {
		f = faultFor(r)
	}
	time.Sleep(f.Delay)
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	status, body := s.serve(w, r)
	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// setEra sets the header that gives the era. The caller holds s.mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) (int, string) {
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		return s.watch(w, r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	switch {
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		o, ok := s.objects[kind][name]
		if !ok {
			return http.StatusNotFound, ""
		}
		return http.StatusOK, o.encode()
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		return s.write(r, kind, name)
	}
	return http.StatusMethodNotAllowed, ""
}

func (s *Store) write(r *http.Request, kind, name string) (int, string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, ""
	}
	if name == "" {
		name = o.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current.encode()
	case r.Method == http.MethodPut && !exists:
		return http.StatusNotFound, ""
	case r.Method == http.MethodPut && o.Metadata.Rev != 0 && o.Metadata.Rev != current.Metadata.Rev:
		return http.StatusConflict, current.encode()
	}
	return http.StatusOK, s.put(kind, name, o.Spec).encode()
}

func (s *Store) list(kind, after string) (int, string) {
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var items []string
	size := 0
	for _, n := range names {
		if len(items) == pageSize || s.PageBytes > 0 && size >= s.PageBytes {
			break
		}
		text := s.objects[kind][n].encode()
		items, size = append(items, text), size+len(text)
	}
	more := len(items) < len(names)
	return http.StatusOK, fmt.Sprintf(`{"items":[%s],"hasMore":%t,"atRev":%d}`, strings.Join(items, ","), more, s.rev)
}

// watch waits for events of a kind after the given revision, for at most the
// given time.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) (int, string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.setEra(w)
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compactedRev || after > s.rev {
			s.mu.Unlock()
			return http.StatusGone, ""
		}
		var events []string
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Rev > after {
				events = append(events, fmt.Sprintf(`{"object":%s,"tombstone":%t}`, e.Object.encode(), e.Tombstone))
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		body := fmt.Sprintf(`{"events":[%s],"atRev":%d}`, strings.Join(events, ","), rev)
		if len(events) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, body
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, ""
		}
	}
}

package config

import (
	"time"

	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// Duration is a time span in the text form of time.ParseDuration.
type Duration = tomlcheck.Duration

// ByteSize is a number of bytes, optionally in KiB, MiB or GiB.
type ByteSize = tomlcheck.ByteSize

// Problem is one error in a document, with its position and field.
type Problem = tomlcheck.Problem

// Problems is an error that lists all problems of a document.
type Problems = tomlcheck.Problems

// Default values and limits of the document.
const (
	// DefaultMaxHeaderBytes is the maximum size of a request's header section.
	DefaultMaxHeaderBytes = ByteSize(64 << 10)
	// DefaultMaxBody is the maximum size of a request body on routes that set
	// no limit.
	DefaultMaxBody = ByteSize(1 << 20)
	// DefaultMaxConnections is the maximum number of callers' connections per
	// VM.
	DefaultMaxConnections = 10_000
	// DefaultHeaderTimeout is the maximum time for a request's header section to
	// arrive.
	DefaultHeaderTimeout = Duration(5 * time.Second)
	// DefaultIdleTimeout is the time after which a caller's connection without
	// requests is closed.
	DefaultIdleTimeout = Duration(60 * time.Second)
	// DefaultBodyStallTimeout is the time without progress of the body after
	// which a request ends.
	DefaultBodyStallTimeout = Duration(10 * time.Second)
	// DefaultTimeout is the time limit of a request that specifies none.
	DefaultTimeout = Duration(10 * time.Second)
	// DefaultMaxTimeout is the longest time limit that a caller may specify.
	DefaultMaxTimeout = Duration(60 * time.Second)
	// DefaultQueueLength is the maximum number of waiting requests per server.
	DefaultQueueLength = 256
	// DefaultQueueWait is the maximum time that a request waits for a slot.
	DefaultQueueWait = Duration(2 * time.Second)
	// DefaultSlices is the number of slices of a keyed service. With 35 servers,
	// each owns about 468 slices, and their counts differ by less than 0.3%.
	DefaultSlices = 16_384
	// MaxSlices is the maximum number of slices of a keyed service. A table
	// entry holds a 2-byte owner index, so the table takes up to 128 KB per
	// service.
	MaxSlices = 65_536
	// DefaultCell is the cell of services that do not name one. A deployment with
	// a single cell needs no other.
	DefaultCell = topo.CellName("main")
	// MaxDocumentBytes is the maximum size of a document, set by the platform's
	// store.
	MaxDocumentBytes = 1_000_000
)

// Document is the part of the configuration that operators write, verify in a
// trial environment and promote to other environments.
type Document struct {
	Limits      Limits       `toml:"limits" json:"limits"`
	DataCentres []DataCentre `toml:"data_centre" json:"data_centre"`
	Services    []Service    `toml:"service" json:"service"`
	Routes      []Route      `toml:"route" json:"route"`
}

// Limits holds the limits on callers' connections, requests and queues of one
// VM.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header section.
	MaxHeaderBytes ByteSize `toml:"max_header_bytes" json:"max_header_bytes"`
	// MaxBody is the maximum size of a request body on routes that set no limit.
	MaxBody ByteSize `toml:"max_body" json:"max_body"`
	// MaxConnections is the maximum number of callers' connections to one VM.
	MaxConnections int `toml:"max_connections" json:"max_connections"`
	// HeaderTimeout is the maximum time for a request's header section to
	// arrive.
	HeaderTimeout Duration `toml:"header_timeout" json:"header_timeout"`
	// IdleTimeout is the time after which a connection without requests is
	// closed.
	IdleTimeout Duration `toml:"idle_timeout" json:"idle_timeout"`
	// BodyStallTimeout is the time without progress of the body after which a
	// request ends.
	BodyStallTimeout Duration `toml:"body_stall_timeout" json:"body_stall_timeout"`
	// Timeout is the time limit of a request if neither the caller nor the
	// route specifies one.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// MaxTimeout is the longest time limit that a caller may specify on routes
	// that set no maximum.
	MaxTimeout Duration `toml:"max_timeout" json:"max_timeout"`
	// QueueLength is the maximum number of requests that wait for one backend
	// server.
	QueueLength int `toml:"queue_length" json:"queue_length"`
	// QueueWait is the maximum time that a request waits for a slot.
	QueueWait Duration `toml:"queue_wait" json:"queue_wait"`
}

// DataCentre is a data centre in which VMs and backend servers run.
type DataCentre struct {
	Name topo.DataCentreName `toml:"name" json:"name"`
}

// Service is a set of backend servers that routes can refer to by name.
type Service struct {
	Name topo.ServiceName `toml:"name" json:"name"`
	// Kind is keyed if each key belongs to one server, and pooled if any server
	// can serve any request.
	Kind topo.ServiceKind `toml:"kind" json:"kind"`
	// Slices is the number of hash ranges of a keyed service, a power of two.
	Slices int `toml:"slices" json:"slices"`
	// ChecksGrants is true if the servers reject orders without a valid grant.
	// The default, false, is the safe assumption for any server.
	ChecksGrants bool `toml:"checks_grants" json:"checks_grants"`
	// Cell is the name of the cell that serves the service.
	Cell topo.CellName `toml:"cell" json:"cell"`
	// Servers are the backend servers. The local overrides of an environment may
	// replace them.
	Servers []topo.BackendServer `toml:"server" json:"server"`
}

// Route sends requests with matching path and method to a service.
type Route struct {
	// Path is a path prefix. With a final slash it matches all paths that begin
	// with it. Without one it matches the path itself and all paths below it.
	Path string `toml:"path" json:"path"`
	// Methods are the HTTP methods of the route, in upper case.
	Methods []string `toml:"methods" json:"methods"`
	// Service is the name of the service that receives the requests.
	Service topo.ServiceName `toml:"service" json:"service"`
	// KeyHeader is the name of the header that holds the key.
	KeyHeader string `toml:"key_header" json:"key_header,omitempty"`
	// KeyQuery is the name of the query parameter that holds the key.
	KeyQuery string `toml:"key_query" json:"key_query,omitempty"`
	// KeySegment is the number of the path segment that holds the key; the
	// first segment of a path is 1.
	KeySegment int `toml:"key_segment" json:"key_segment,omitempty"`
	// OpenToAll permits every customer to use the route. Otherwise the customer's
	// list of services must contain the service. Callers need a caller key in
	// both cases.
	OpenToAll bool `toml:"open_to_all" json:"open_to_all"`
	// Idempotent is true if a request may run more than once, so that it can be
	// retried.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// ExactlyOnce is true if a request must not run more than once. Callers have
	// to send an Idempotency-Key.
	ExactlyOnce bool `toml:"exactly_once" json:"exactly_once"`
	// Large is true if requests or responses are large. They may use only the
	// bounded share of slots for large transfers.
	Large bool `toml:"large" json:"large"`
	// MaxBody is the maximum size of the request body; limits.max_body by
	// default.
	MaxBody ByteSize `toml:"max_body" json:"max_body"`
	// Timeout is the time limit of a request that specifies none; limits.timeout
	// by default.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// MaxTimeout is the longest time limit that a caller may specify;
	// limits.max_timeout by default, but at least Timeout.
	MaxTimeout Duration `toml:"max_timeout" json:"max_timeout"`
}

// SetDefaults implements tomlcheck.Defaulter.
func (l *Limits) SetDefaults() {
	*l = Limits{
		MaxHeaderBytes: DefaultMaxHeaderBytes, MaxBody: DefaultMaxBody, MaxConnections: DefaultMaxConnections,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout, BodyStallTimeout: DefaultBodyStallTimeout,
		Timeout: DefaultTimeout, MaxTimeout: DefaultMaxTimeout,
		QueueLength: DefaultQueueLength, QueueWait: DefaultQueueWait,
	}
}

// SetDefaults implements tomlcheck.Defaulter.
func (s *Service) SetDefaults() { s.Cell = DefaultCell }

// fillDefaults sets the values that depend on other fields.
func (d *Document) fillDefaults() {
	for i := range d.Services {
		s := &d.Services[i]
		if s.Kind == topo.Keyed && s.Slices == 0 {
			s.Slices = DefaultSlices
		}
		for j := range s.Servers {
			s.Servers[j].Service = s.Name
		}
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.MaxBody == 0 {
			r.MaxBody = d.Limits.MaxBody
		}
		if r.Timeout == 0 {
			r.Timeout = d.Limits.Timeout
		}
		if r.MaxTimeout == 0 {
			r.MaxTimeout = max(d.Limits.MaxTimeout, r.Timeout)
		}
	}
}

// ParseDocument decodes and validates a document. The name file appears only in
// error positions. The error is of type Problems and lists every problem. A
// service may have no servers here, because the local overrides of an
// environment can add them; Merge checks that.
func ParseDocument(file string, data []byte) (*Document, error) {
	doc := &Document{}
	doc.Limits.SetDefaults()
	c, err := decode(file, data, doc)
	if err != nil {
		return nil, err
	}
	if c.Complete() {
		v := validator{c: c, doc: doc}
		v.document()
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	doc.fillDefaults()
	return doc, nil
}

func decode(file string, data []byte, out any) (*tomlcheck.Checker, error) {
	if len(data) > MaxDocumentBytes {
		return nil, tooLarge(file, len(data))
	}
	return tomlcheck.Decode(file, data, out), nil
}

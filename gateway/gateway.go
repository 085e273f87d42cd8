// Package gateway is the HTTP front end that callers reach. It checks and
// limits a request, finds customer and route, admits it, passes it to a
// call.Doer and streams the response back, with bounded memory in both
// directions. Its answers to failed requests come from the errkind table.
package gateway

import (
	"crypto/tls"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/topo"
)

// Authenticator finds the customer of a caller key.
type Authenticator interface {
	// Authenticate returns an *errkind.Error of kind CallerKeyInvalid or
	// FreshnessLost when the key cannot be accepted.
	Authenticate(callerKey string, now time.Time) (topo.CustomerID, error)
}

// Reservation is a token of a customer's rate that is held for one request.
// Exactly one of its methods is called, once.
type Reservation interface {
	// Settle spends the token: the request was dispatched and may have run.
	Settle()
	// Release returns the token: the request was refused and did not run.
	Release()
}

// Admitter holds customers to their rates.
type Admitter interface {
	// Reserve returns an *errkind.Error of kind RateExceeded when the
	// customer's rate is used up.
	Reserve(customer topo.CustomerID, now time.Time) (Reservation, error)
}

// RouteFinder finds the route of a request.
type RouteFinder interface {
	// Route returns nil when there is none. The segments are the unescaped
	// path segments; "/" has none.
	Route(method string, segments []string) *Route
}

// Probes tells the platform's load balancer about this VM.
type Probes interface {
	// Healthy returns an error when the process should be replaced.
	Healthy() error
	// Ready returns an error when no new requests should be sent here.
	Ready() error
}

// Config holds what a Gateway works with. Zero limits get their defaults.
type Config struct {
	Authenticator Authenticator
	Admitter      Admitter
	Routes        RouteFinder
	Probes        Probes
	Doer          call.Doer
	Log           zerolog.Logger
	// TLS is for ServeTLS only.
	TLS *tls.Config
	// Now defaults to time.Now.
	Now func() time.Time
	// NewID returns a unique request id; it defaults to a random UUID.
	NewID func() string

	// MaxHeaderBytes limits a request's head.
	MaxHeaderBytes int
	// MaxInFlight limits the requests in progress; more are refused.
	MaxInFlight int
	// HeadTimeout limits the time to send the head.
	HeadTimeout time.Duration
	// BodyTimeout limits each wait for more of a streamed body, and the time
	// to send a buffered body.
	BodyTimeout time.Duration
	// IdleTimeout closes kept connections without requests.
	IdleTimeout time.Duration
	// DrainTimeout is how long Shutdown answers kept connections with
	// Connection: close before it closes those that are idle.
	DrainTimeout time.Duration
	// LogEvery is n when one in n successful requests is logged.
	LogEvery uint32
}

// The defaults of Config.
const (
	defaultMaxHeaderBytes = 16 << 10
	// A running request holds up to 64 KiB of body and a 32 KiB buffer, so
	// 2,048 of them hold less than 200 MiB.
	defaultMaxInFlight  = 2048
	defaultHeadTimeout  = 5 * time.Second
	defaultBodyTimeout  = 10 * time.Second
	defaultIdleTimeout  = 60 * time.Second
	defaultDrainTimeout = 2 * time.Second
	defaultLogEvery     = 1000
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.HeadTimeout, defaultHeadTimeout)
	setDefault(&c.BodyTimeout, defaultBodyTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.DrainTimeout, defaultDrainTimeout)
	setDefault(&c.LogEvery, defaultLogEvery)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.NewID == nil {
		c.NewID = uuid.NewString
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

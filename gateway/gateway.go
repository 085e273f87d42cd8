// Package gateway is the HTTP front end for callers. It validates each request,
// enforces its size and time limits, identifies the customer and the route,
// admits the request, passes it to a call.Doer and streams the response back.
// Memory use is bounded in both directions. Error responses are defined by the
// errkind table.
package gateway

import (
	"crypto/tls"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/topo"
)

// Authenticator identifies the customer that a caller key belongs to.
type Authenticator interface {
	// Authenticate returns an *errkind.Error of kind CallerKeyInvalid or
	// FreshnessLost if the key is not accepted.
	Authenticate(callerKey string, now time.Time) (topo.CustomerID, error)
}

// Reservation is a rate limit token that is held for one request. Exactly one
// of its methods must be called, exactly once.
type Reservation interface {
	// Settle spends the token: the request was dispatched and may have run.
	Settle()
	// Release returns the token: the request was refused and did not run.
	Release()
}

// Admitter enforces the customers' rate limits.
type Admitter interface {
	// Reserve takes a token from the customer's rate limit. It returns an
	// *errkind.Error of kind RateExceeded if no token is left.
	Reserve(customer topo.CustomerID, now time.Time) (Reservation, error)
}

// RouteFinder selects the route of a request.
type RouteFinder interface {
	// Route returns nil if no route matches. The segments are the unescaped
	// path segments; "/" has none.
	Route(method string, segments []string) *Route
}

// Probes answers the probes of the platform's load balancer for this VM.
type Probes interface {
	// Healthy returns an error if the process should be replaced.
	Healthy() error
	// Ready returns an error if this VM should receive no new requests.
	Ready() error
}

// Config holds the dependencies and limits of a Gateway. Limits that are zero
// get their defaults.
type Config struct {
	Authenticator Authenticator
	Admitter      Admitter
	Routes        RouteFinder
	Probes        Probes
	Doer          call.Doer
	Log           zerolog.Logger
	// TLS is used only by ServeTLS.
	TLS *tls.Config
	// Now defaults to time.Now.
	Now func() time.Time
	// NewID returns a unique request ID; it defaults to a random UUID.
	NewID func() string

	// Memory, unless nil, is the memory for what callers make the gateway hold.
	Memory *membudget.Budget
	// MaxHeaderBytes limits the size of a request's head.
	MaxHeaderBytes int
	// MaxInFlight limits the requests in flight; further requests are refused.
	MaxInFlight int
	// HeadTimeout limits the time to receive the head.
	HeadTimeout time.Duration
	// BodyTimeout limits each read of a request body.
	BodyTimeout time.Duration
	// IdleTimeout is how long an idle keep-alive connection stays open.
	IdleTimeout time.Duration
	// DrainTimeout is how long Shutdown responds with Connection: close and
	// waits for callers to close their connections, before it closes the idle
	// ones.
	DrainTimeout time.Duration
	// LogEvery is the sampling interval of the success log: one in LogEvery
	// successful requests is logged.
	LogEvery uint32
}

// The defaults of Config.
const (
	defaultMaxHeaderBytes = 16 << 10
	// A request in flight holds up to 64 KiB of body and a 32 KiB buffer, so
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

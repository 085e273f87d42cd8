package config

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/topo"
)

const (
	// DefaultWeight is the weight of a customer in the fair queues if the
	// operator sets none.
	DefaultWeight = 1
	// MaxWeight is the maximum weight, so that no customer can starve the
	// others.
	MaxWeight = 1000
	// MaxCallerKeys is the maximum number of caller keys of one customer,
	// including withdrawn ones.
	MaxCallerKeys = 256
	// MinBurst is the minimum burst, given as a time: a burst must be at least
	// the number of requests in this time at the customer's rate. The rate ledger
	// issues 0.8 of the rate in blocks that live for 500 ms, so that up to 0.8 x
	// 500 ms of the rate is deferred (docs/design.md, section 4.4).
	MinBurst         = time.Second
	maxRatePerSecond = 1e9
)

// Customer is the store object of a customer: its rate limit, permissions and
// caller keys.
type Customer struct {
	ID topo.CustomerID `json:"id"`
	// Rate is the permitted number of requests per second over all VMs.
	Rate float64 `json:"rate"`
	// Burst is the permitted burst in requests, at least Rate x 1 s.
	Burst float64 `json:"burst"`
	// Weight is the customer's share in the fair queues, relative to other
	// customers.
	Weight int `json:"weight"`
	// Services lists the services that the customer may use on routes that are
	// not open to all customers.
	Services []topo.ServiceName `json:"services"`
	// Keys lists the customer's caller keys, stored as hashes.
	Keys []callerkey.Record `json:"keys"`
}

// Validate returns an error that describes the first invalid field.
func (c *Customer) Validate() error {
	if !ValidName(string(c.ID)) {
		return errors.NotValidf("customer id %q", c.ID)
	}
	if !(c.Rate > 0) || c.Rate > maxRatePerSecond {
		return errors.NotValidf("customer %q: rate %g (accepted: above 0, at most %g per second)", c.ID, c.Rate, float64(maxRatePerSecond))
	}
	if !(c.Burst >= c.Rate*MinBurst.Seconds()) || math.IsInf(c.Burst, 0) {
		return errors.NotValidf("customer %q: burst %g (accepted: at least rate x %s = %g)", c.ID, c.Burst, MinBurst, c.Rate*MinBurst.Seconds())
	}
	if c.Weight < 1 || c.Weight > MaxWeight {
		return errors.NotValidf("customer %q: weight %d (accepted: 1 to %d)", c.ID, c.Weight, MaxWeight)
	}
	for i, s := range c.Services {
		if !ValidName(string(s)) || slices.Contains(c.Services[:i], s) {
			return errors.NotValidf("customer %q: service %q (malformed or listed twice)", c.ID, s)
		}
	}
	return c.validateKeys()
}

func (c *Customer) validateKeys() error {
	if len(c.Keys) > MaxCallerKeys {
		return errors.NotValidf("customer %q: %d caller keys (accepted: at most %d)", c.ID, len(c.Keys), MaxCallerKeys)
	}
	seen := map[callerkey.ID]bool{}
	for i := range c.Keys {
		if err := c.Keys[i].Validate(); err != nil {
			return errors.Annotatef(err, "customer %q", c.ID)
		}
		if seen[c.Keys[i].ID] {
			return errors.NotValidf("customer %q: caller key %s (listed twice)", c.ID, c.Keys[i].ID)
		}
		seen[c.Keys[i].ID] = true
	}
	return nil
}

// May reports whether the customer may use the route: either the route is open
// to all customers, or Services contains its service.
func (c *Customer) May(r *Route) bool { return r.OpenToAll || slices.Contains(c.Services, r.Service) }

// Key returns the customer's caller key with the id, or nil if there is none.
func (c *Customer) Key(id callerkey.ID) *callerkey.Record {
	for i := range c.Keys {
		if c.Keys[i].ID == id {
			return &c.Keys[i]
		}
	}
	return nil
}

// DataCentreState is the store object that holds whether a data centre is in
// service. A data centre without such an object is in service.
type DataCentreState struct {
	Name topo.DataCentreName `json:"name"`
	// Out is true if the data centre is out of service and receives no new work.
	Out    bool      `json:"out"`
	By     string    `json:"by"`
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// Validate returns an error if the name is invalid.
func (s *DataCentreState) Validate() error {
	if !ValidName(string(s.Name)) {
		return errors.NotValidf("data centre name %q", s.Name)
	}
	return nil
}

// Draining is the store object of a backend server that is being drained. The
// server receives no new work while the object exists.
type Draining struct {
	Server topo.ServerID `json:"server"`
	By     string        `json:"by"`
	Since  time.Time     `json:"since"`
	Reason string        `json:"reason,omitempty"`
}

// Validate returns an error if the server id is invalid.
func (d *Draining) Validate() error {
	if !ValidName(string(d.Server)) {
		return errors.NotValidf("server id %q", d.Server)
	}
	return nil
}

// object is a store object of this package, which is stored as JSON.
type object interface{ Validate() error }

// Encode returns the object as JSON. It returns an error if the object is
// invalid.
func Encode(o object) ([]byte, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(o)
}

// DecodeCustomer decodes and validates a customer. Unknown fields are ignored, as
// in all store objects of this package, because a newer version of godwitlock may
// have written the object while VMs are being replaced.
func DecodeCustomer(data []byte) (*Customer, error) { return decodeObject(data, &Customer{}) }

// DecodeDataCentreState decodes and validates the state of a data centre. Unknown
// fields are ignored.
func DecodeDataCentreState(data []byte) (*DataCentreState, error) {
	return decodeObject(data, &DataCentreState{})
}

// DecodeDraining decodes and validates the drain order of a server. Unknown fields
// are ignored.
func DecodeDraining(data []byte) (*Draining, error) { return decodeObject(data, &Draining{}) }

func decodeObject[T object](data []byte, out T) (T, error) {
	var zero T
	if err := json.Unmarshal(data, out); err != nil {
		return zero, errors.Annotate(err, "decode object")
	}
	if err := out.Validate(); err != nil {
		return zero, err
	}
	return out, nil
}

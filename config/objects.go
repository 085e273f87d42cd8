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
	// DefaultWeight is a customer's weight in the fair queues.
	DefaultWeight = 1
	// MaxWeight bounds the weight, so that no customer can starve the rest.
	MaxWeight = 1000
	// MaxCallerKeys bounds the keys of one customer, withdrawn ones included.
	MaxCallerKeys = 256
	// MinBurst is the smallest burst, as a multiple of the rate. The rate
	// ledger defers up to 0.8 s x 500 ms of the rate, see docs/design.md,
	// section 4.4.
	MinBurst         = time.Second
	maxRatePerSecond = 1e9
)

// Customer is the store object of a customer.
type Customer struct {
	ID topo.CustomerID `json:"id"`
	// Rate is in requests per second over all VMs.
	Rate float64 `json:"rate"`
	// Burst is in requests, at least Rate x 1 s.
	Burst float64 `json:"burst"`
	// Weight is the share in fair queues relative to other customers.
	Weight int `json:"weight"`
	// Services are those that the customer may use on routes that are not
	// open to all.
	Services []topo.ServiceName `json:"services"`
	// Keys are the customer's caller keys, stored as hashes.
	Keys []callerkey.Record `json:"keys"`
}

// Validate reports the first impossible value.
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
			return errors.NotValidf("customer %q: service %q, no name or listed twice:", c.ID, s)
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
			return errors.NotValidf("customer %q: caller key %s, listed twice:", c.ID, c.Keys[i].ID)
		}
		seen[c.Keys[i].ID] = true
	}
	return nil
}

// May reports whether the customer may use a route.
func (c *Customer) May(r *Route) bool { return r.OpenToAll || slices.Contains(c.Services, r.Service) }

// Key returns the customer's key with the id, or nil.
func (c *Customer) Key(id callerkey.ID) *callerkey.Record {
	for i := range c.Keys {
		if c.Keys[i].ID == id {
			return &c.Keys[i]
		}
	}
	return nil
}

// DataCentreState is the store object that takes a data centre out of service.
// A data centre without one is in service.
type DataCentreState struct {
	Name topo.DataCentreName `json:"name"`
	// Out says that no new work goes to the data centre.
	Out    bool      `json:"out"`
	By     string    `json:"by"`
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
}

// Validate reports an impossible value.
func (s *DataCentreState) Validate() error {
	if !ValidName(string(s.Name)) {
		return errors.NotValidf("data centre name %q", s.Name)
	}
	return nil
}

// Draining is the store object of a backend server that is leaving. The
// server receives no new work while the object exists.
type Draining struct {
	Server topo.ServerID `json:"server"`
	By     string        `json:"by"`
	Since  time.Time     `json:"since"`
	Reason string        `json:"reason,omitempty"`
}

// Validate reports an impossible value.
func (d *Draining) Validate() error {
	if !ValidName(string(d.Server)) {
		return errors.NotValidf("server id %q", d.Server)
	}
	return nil
}

// object is implemented by the JSON objects of this package.
type object interface{ Validate() error }

// Encode returns the JSON form of a valid object.
func Encode(o object) ([]byte, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return json.Marshal(o)
}

// DecodeCustomer reads and validates a customer. As in all objects of this
// package, unknown fields are passed over, since a newer version may have
// written the object while VMs are being replaced.
func DecodeCustomer(data []byte) (*Customer, error) { return decodeObject(data, &Customer{}) }

// DecodeDataCentreState reads and validates the state of a data centre.
func DecodeDataCentreState(data []byte) (*DataCentreState, error) {
	return decodeObject(data, &DataCentreState{})
}

// DecodeDraining reads and validates a draining server.
func DecodeDraining(data []byte) (*Draining, error) { return decodeObject(data, &Draining{}) }

func decodeObject[T object](data []byte, out T) (T, error) {
	var zero T
	if err := json.Unmarshal(data, out); err != nil {
		return zero, errors.Annotate(err, "read object")
	}
	if err := out.Validate(); err != nil {
		return zero, err
	}
	return out, nil
}

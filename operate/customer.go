package operate

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/topo"
)

// KeyRetention is the time for which a withdrawn or expired caller key stays
// listed. Afterwards it is removed when the customer's next key is issued.
const KeyRetention = 30 * 24 * time.Hour

// CreateCustomer adds a customer without caller keys. Its services must be
// defined in the document, if the document defines any. A weight of 0 means
// config.DefaultWeight.
func (o *Operator) CreateCustomer(ctx context.Context, c config.Customer, reason string) (Receipt, error) {
	return o.run(ctx, action{name: "customer-create", target: target("customer", c.ID), reason: reason}, func(ctx context.Context) (change, error) {
		ch := change{key: config.CustomerKey(o.Env, c.ID)}
		if c.Weight == 0 {
			c.Weight = config.DefaultWeight
		}
		c.Keys = nil
		value, err := config.Encode(&c)
		if err != nil {
			return ch, invalidInput(err)
		}
		if err := o.checkServices(ctx, c.Services); err != nil {
			return ch, err
		}
		ch.value, ch.detail = value, describeCustomer(&c)
		_, err = o.getAtBase(ctx, ch.key, 0)
		return ch, err
	})
}

func describeCustomer(c *config.Customer) string {
	return fmt.Sprintf("rate %g, burst %g, weight %d, services %v", c.Rate, c.Burst, c.Weight, c.Services)
}

// customer reads a customer for an update based on version base.
func (o *Operator) customer(ctx context.Context, id topo.CustomerID, base uint64) (*config.Customer, change, error) {
	ch := change{key: config.CustomerKey(o.Env, id)}
	if !config.ValidName(string(id)) {
		return nil, ch, refusef(ErrInvalid, "%q is not a valid customer name", id)
	}
	obj, err := o.getAtBase(ctx, ch.key, base)
	ch.base = obj.Version
	if err != nil {
		return nil, ch, err
	}
	if obj.Version == 0 {
		return nil, ch, o.unknownCustomer(ctx, id)
	}
	c, err := config.DecodeCustomer(obj.Value)
	if err != nil {
		return nil, ch, refusef(ErrInvalid, "stored customer %q: %s", id, err)
	}
	return c, ch, nil
}

// unknownCustomer returns an error that lists the known customers, if they can be
// read.
func (o *Operator) unknownCustomer(ctx context.Context, id topo.CustomerID) error {
	var known []string
	if v, err := o.View(ctx); err == nil {
		for _, c := range v.Customers() {
			known = append(known, string(c))
		}
	}
	return unknownNameError("customer", string(id), known)
}

// updateCustomer reads a customer, applies edit and writes the result in one
// conditional update. The function edit returns the detail for the audit entry.
func (o *Operator) updateCustomer(ctx context.Context, a action, id topo.CustomerID, base uint64, edit func(*config.Customer) (detail string, err error)) (Receipt, error) {
	a.target = target("customer", id)
	return o.run(ctx, a, func(ctx context.Context) (change, error) {
		c, ch, err := o.customer(ctx, id, base)
		if err != nil {
			return ch, err
		}
		if ch.detail, err = edit(c); err != nil {
			return ch, err
		}
		if ch.value, err = config.Encode(c); err != nil {
			return ch, invalidInput(err)
		}
		return ch, nil
	})
}

// SetRate changes a customer's rate, burst and weight. A weight of 0 keeps the
// current weight. Base is the version of the customer on which the change is
// based, or AnyBase.
func (o *Operator) SetRate(ctx context.Context, id topo.CustomerID, rate, burst float64, weight int, base uint64, reason string) (Receipt, error) {
	return o.updateCustomer(ctx, action{name: "set-rate", reason: reason}, id, base, func(c *config.Customer) (string, error) {
		before := describeCustomer(c)
		c.Rate, c.Burst = rate, burst
		if weight != 0 {
			c.Weight = weight
		}
		if describeCustomer(c) == before {
			return "", refusef(ErrNoChange, "%s", before)
		}
		return before + " -> " + describeCustomer(c), nil
	})
}

// SetServices replaces the list of services that a customer may use through
// routes that are not open to all customers. Base is the version of the customer
// on which the change is based, or AnyBase.
func (o *Operator) SetServices(ctx context.Context, id topo.CustomerID, services []topo.ServiceName, base uint64, reason string) (Receipt, error) {
	return o.updateCustomer(ctx, action{name: "set-services", reason: reason}, id, base, func(c *config.Customer) (string, error) {
		if slices.Equal(c.Services, services) {
			return "", refusef(ErrNoChange, "services %v", services)
		}
		detail := fmt.Sprintf("services %v -> %v", c.Services, services)
		c.Services = services
		return detail, o.checkServices(ctx, services)
	})
}

// checkServices returns an error for a service that the document does not define.
// Such a name is usually misspelt, and the customer's requests to the intended
// service would be forbidden.
func (o *Operator) checkServices(ctx context.Context, services []topo.ServiceName) error {
	if len(services) == 0 {
		return nil
	}
	v, err := o.View(ctx)
	if err != nil {
		return err
	}
	var known []string
	for _, s := range v.Document().Services {
		known = append(known, string(s.Name))
	}
	for _, s := range services {
		if len(known) > 0 && !slices.Contains(known, string(s)) {
			return unknownNameError("service", string(s), known)
		}
	}
	return nil
}

// RemoveCustomer deletes a customer and all its caller keys. Base is the version
// of the customer on which the change is based, or AnyBase.
func (o *Operator) RemoveCustomer(ctx context.Context, id topo.CustomerID, base uint64, reason string) (Receipt, error) {
	return o.run(ctx, action{name: "customer-remove", target: target("customer", id), reason: reason}, func(ctx context.Context) (change, error) {
		obj, err := o.getAtBase(ctx, config.CustomerKey(o.Env, id), base)
		ch := change{key: config.CustomerKey(o.Env, id), base: obj.Version, deletes: true}
		if err == nil && obj.Version == 0 {
			// The object is not decoded, so that an invalid one can be removed.
			err = o.unknownCustomer(ctx, id)
		}
		return ch, err
	})
}

// KeyOptions are the options of a new caller key.
type KeyOptions struct {
	// NotBefore and NotAfter bound the key's validity; zero means no bound.
	NotBefore, NotAfter time.Time
	Note                string
}

// IssueCallerKey issues a key for a customer in addition to its existing keys. It
// returns the key only if the key is known to be stored. If the outcome is
// unknown, the error contains the key's id, so that the key can be withdrawn.
func (o *Operator) IssueCallerKey(ctx context.Context, id topo.CustomerID, opts KeyOptions, reason string) (callerkey.Key, Receipt, error) {
	key, err := callerkey.Issue(o.Random, o.Env)
	if err != nil {
		return callerkey.Key{}, Receipt{}, errors.Trace(err)
	}
	r, err := o.updateCustomer(ctx, action{name: "caller-key-issue", reason: reason}, id, AnyBase, func(c *config.Customer) (string, error) {
		now := o.Now().UTC()
		if !opts.NotAfter.IsZero() && !opts.NotAfter.After(now) {
			return "", refusef(ErrInvalid, "the expiry %s of the key is not in the future", opts.NotAfter)
		}
		c.Keys = slices.DeleteFunc(c.Keys, func(k callerkey.Record) bool { return pastKeyRetention(&k, now) })
		c.Keys = append(c.Keys, callerkey.Record{ID: key.ID(), Hash: key.Hash(), NotBefore: opts.NotBefore, NotAfter: opts.NotAfter, Note: callerkey.Redact(opts.Note)})
		return "caller key " + key.ID().String(), nil
	})
	if err != nil {
		return callerkey.Key{}, r, errors.Annotatef(err, "issue caller key %s", key.ID())
	}
	return key, r, nil
}

// pastKeyRetention reports whether a key was withdrawn or expired longer than
// KeyRetention ago.
func pastKeyRetention(k *callerkey.Record, now time.Time) bool {
	limit := now.Add(-KeyRetention)
	return !k.Withdrawn.IsZero() && k.Withdrawn.Before(limit) || !k.NotAfter.IsZero() && k.NotAfter.Before(limit)
}

// ListCallerKeys returns a customer's keys, including withdrawn and expired ones.
func (o *Operator) ListCallerKeys(ctx context.Context, id topo.CustomerID) ([]callerkey.Record, error) {
	c, _, err := o.customer(ctx, id, AnyBase)
	if err != nil {
		return nil, asActionError("caller-key-list", err)
	}
	return c.Keys, nil
}

// WithdrawCallerKey withdraws one key of a customer without a grace period. On
// return the withdrawal is stored; it is in force once all VMs have acknowledged
// the version in the receipt.
func (o *Operator) WithdrawCallerKey(ctx context.Context, id topo.CustomerID, key callerkey.ID, reason string) (Receipt, error) {
	return o.updateCustomer(ctx, action{name: "caller-key-withdraw", reason: reason}, id, AnyBase, func(c *config.Customer) (string, error) {
		k := c.Key(key)
		if k == nil {
			var known []string
			for i := range c.Keys {
				known = append(known, c.Keys[i].ID.String())
			}
			return "", refusef(ErrUnknownName, "customer %q has no caller key %s (known: %s)", id, key, joinNames(known))
		}
		if !k.Withdrawn.IsZero() {
			return "", refusef(ErrNoChange, "caller key %s was withdrawn by %s at %s", key, k.WithdrawnBy, k.Withdrawn)
		}
		k.Withdrawn, k.WithdrawnBy = o.Now().UTC(), o.OperatorName
		return "caller key " + key.String(), nil
	})
}

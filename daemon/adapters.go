package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/admission"
	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/slicemap"
	"godwitlock.example/godwitlock/topo"
)

// authenticator implements gateway.Authenticator with a callerkey.Verifier.
type authenticator struct{ verifier *callerkey.Verifier }

// Authenticate implements gateway.Authenticator.
func (a authenticator) Authenticate(key string, now time.Time) (topo.CustomerID, error) {
	identity, err := a.verifier.Verify(key, now)
	if err != nil {
		return "", errkind.Wrap(err, callerkey.Kind(err), "the caller key is not accepted")
	}
	return identity.Customer, nil
}

// admitter implements gateway.Admitter with an admission.Gate.
type admitter struct{ gate *admission.Gate }

// Reserve implements gateway.Admitter.
func (a admitter) Reserve(id topo.CustomerID, _ time.Time) (gateway.Reservation, error) {
	r, err := a.gate.Reserve(context.Background(), id)
	if err != nil {
		return nil, err
	}
	return reservation{r}, nil
}

type reservation struct{ r admission.Reservation }

// Settle implements gateway.Reservation.
func (r reservation) Settle() { r.r.Settle(time.Now()) }

// Release implements gateway.Reservation.
func (r reservation) Release() { r.r.Release(time.Now()) }

// probes answers the load balancer's probes from the state of a control.Node.
type probes struct{ node *control.Node }

// Healthy implements gateway.Probes.
func (p probes) Healthy() error { return nil }

// Ready implements gateway.Probes.
func (p probes) Ready() error {
	if !p.node.Ready() {
		return errors.New("no routing table or no fresh configuration")
	}
	return nil
}

// reloadableRoutes is a gateway.RouteFinder whose routes are replaced with each
// configuration.
type reloadableRoutes struct{ table atomic.Pointer[gateway.Table] }

// Route implements gateway.RouteFinder.
func (r *reloadableRoutes) Route(method string, segments []string) *gateway.Route {
	if t := r.table.Load(); t != nil {
		return t.Route(method, segments)
	}
	return nil
}

func (r *reloadableRoutes) update(view *config.View, log zerolog.Logger) {
	doc := view.Document()
	if doc == nil {
		return
	}
	routes := make([]*gateway.Route, 0, len(doc.Routes))
	for i := range doc.Routes {
		routes = append(routes, gatewayRoute(&doc.Routes[i], view))
	}
	table, err := gateway.NewTable(routes)
	if err != nil {
		log.Error().Err(err).Str("event", "routes_refused").Msg("new routes rejected; the previous routes stay in force")
		return
	}
	r.table.Store(table)
}

func gatewayRoute(r *config.Route, view *config.View) *gateway.Route {
	rt := &gateway.Route{
		Name: r.Path, Prefix: r.Path, Methods: r.Methods, Service: r.Service,
		OpenToAll: r.OpenToAll, ExactlyOnce: r.ExactlyOnce, Large: r.Large, MaxBody: int64(r.MaxBody),
		DefaultTimeout: time.Duration(r.Timeout), MaxTimeout: time.Duration(r.MaxTimeout),
	}
	if r.Idempotent {
		rt.IdempotentMethods = r.Methods
	}
	switch {
	case r.KeyHeader != "":
		rt.KeySource, rt.KeyName = gateway.KeyHeader, r.KeyHeader
	case r.KeyQuery != "":
		rt.KeySource, rt.KeyName = gateway.KeyQuery, r.KeyQuery
	case r.KeySegment > 0:
		rt.KeySource, rt.KeyIndex = gateway.KeySegment, r.KeySegment-1
	}
	if !r.OpenToAll {
		for _, id := range view.Customers() {
			if view.Customer(id).May(r) {
				rt.Customers = append(rt.Customers, id)
			}
		}
	}
	return rt
}

// customerRates applies the customers' configured rates to the admission share.
type customerRates struct {
	mu    sync.Mutex
	rates map[topo.CustomerID]admission.Rate
}

func (r *customerRates) update(view *config.View, share *admission.Share, log zerolog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.rates == nil {
		r.rates = make(map[topo.CustomerID]admission.Rate)
	}
	for id := range r.rates {
		if view.Customer(id) == nil {
			share.RemoveCustomer(now, id)
			delete(r.rates, id)
		}
	}
	for _, id := range view.Customers() {
		c := view.Customer(id)
		rate := admission.Rate{PerSecond: c.Rate, Burst: c.Burst}
		if r.rates[id] == rate {
			continue
		}
		if err := share.SetCustomer(now, id, rate); err != nil {
			log.Error().Err(err).Str("customer", string(id)).Msg("customer rate rejected")
			continue
		}
		r.rates[id] = rate
	}
}

// isHomeVM reports whether vm is the home VM of any server that is not removed.
func isHomeVM(t *slicemap.Table, vm topo.VMID) bool {
	for _, name := range t.Services() {
		for _, s := range t.Service(name).Servers() {
			if s.Home == vm && s.State != slicemap.ServerRemoved {
				return true
			}
		}
	}
	return false
}

// fullyAssigned reports whether every slice of t is in phase Serving and every
// server in state ServerServing has a home VM.
func fullyAssigned(t *slicemap.Table) bool {
	if len(t.Services()) == 0 {
		return false
	}
	for _, name := range t.Services() {
		svc := t.Service(name)
		for _, s := range svc.Servers() {
			if s.State == slicemap.ServerServing && s.Home == "" {
				return false
			}
		}
		for id := range svc.Slices() {
			if svc.Entry(topo.SliceID(id)).Phase != slicemap.Serving {
				return false
			}
		}
	}
	return true
}

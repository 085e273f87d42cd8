package operate

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/internal/tomlcheck"
	"godwitlock.example/godwitlock/topo"
)

// SetDataCentreOut takes a data centre out of service if out is true, and returns
// it to service otherwise. The last data centre in service is taken out only if
// force is true; otherwise the error is ErrUnsafe.
func (o *Operator) SetDataCentreOut(ctx context.Context, name topo.DataCentreName, out, force bool, reason string) (Receipt, error) {
	a := action{name: "data-centre-in", target: target("datacentre", name), reason: reason, forced: force}
	if out {
		a.name = "data-centre-out"
	}
	return o.run(ctx, a, func(ctx context.Context) (change, error) {
		ch := change{key: config.DataCentreKey(o.Env, name)}
		v, err := o.View(ctx)
		if err != nil {
			return ch, err
		}
		if err := checkDataCentre(v, name, out, force); err != nil {
			return ch, err
		}
		obj, err := o.getAtBase(ctx, ch.key, AnyBase)
		if err != nil {
			return ch, err
		}
		ch.base = obj.Version
		if state, err := config.DecodeDataCentreState(obj.Value); err == nil && obj.Version > 0 && state.Out == out {
			return ch, refusef(ErrNoChange, "%s is already %s, by %s since %s", name, stateWord(out), state.By, state.Since)
		}
		if obj.Version == 0 && !out {
			return ch, refusef(ErrNoChange, "%s is already in", name)
		}
		ch.value, err = config.Encode(&config.DataCentreState{Name: name, Out: out, By: o.OperatorName, Since: o.Now().UTC(), Reason: reason})
		return ch, err
	})
}

func stateWord(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func checkDataCentre(v *config.View, name topo.DataCentreName, out, force bool) error {
	var known []string
	otherInService := false
	for _, dc := range v.Document().DataCentres {
		known = append(known, string(dc.Name))
		otherInService = otherInService || dc.Name != name && v.DataCentreInService(dc.Name)
	}
	if !slices.Contains(known, string(name)) {
		return unknownNameError("data centre", string(name), known)
	}
	if out && !otherInService && !force {
		return refusef(ErrUnsafe, "%s is the last data centre in service", name)
	}
	return nil
}

func unknownNameError(class, name string, known []string) error {
	if suggestion := tomlcheck.Nearest(name, known); suggestion != "" {
		return refusef(ErrUnknownName, "no %s is named %q (did you mean %q?)", class, name, suggestion)
	}
	return refusef(ErrUnknownName, "no %s is named %q (known: %s)", class, name, joinNames(known))
}

// maxListedNames bounds the names in an error message, since there may be
// thousands.
const maxListedNames = 40

// joinNames formats a list of names for an error message.
func joinNames(names []string) string {
	switch {
	case len(names) == 0:
		return "none"
	case len(names) > maxListedNames:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}

// DrainServer stores a drain order for a backend server, so that it receives no
// new work. If drain is false, it deletes the order.
func (o *Operator) DrainServer(ctx context.Context, id topo.ServerID, drain bool, reason string) (Receipt, error) {
	a := action{name: "undrain-server", target: target("server", id), reason: reason}
	if drain {
		a.name = "drain-server"
	}
	return o.run(ctx, a, func(ctx context.Context) (change, error) {
		ch := change{key: config.DrainingKey(o.Env, id), deletes: !drain}
		obj, err := o.getAtBase(ctx, ch.key, AnyBase)
		if err != nil {
			return ch, err
		}
		ch.base = obj.Version
		if drain == (obj.Version > 0) {
			return ch, refusef(ErrNoChange, "the drain order of %s is already as requested (present: %t), last written by %q", id, drain, obj.Writer)
		}
		if !drain {
			return ch, nil
		}
		v, err := o.View(ctx)
		if err != nil {
			return ch, err
		}
		if v.Server(id) == nil {
			return ch, unknownNameError("server", string(id), serverIDs(v))
		}
		ch.value, err = config.Encode(&config.Draining{Server: id, By: o.OperatorName, Since: o.Now().UTC(), Reason: reason})
		return ch, err
	})
}

func serverIDs(v *config.View) []string {
	var ids []string
	for _, s := range v.Document().Services {
		for _, server := range s.Servers {
			ids = append(ids, string(server.ID))
		}
	}
	return ids
}

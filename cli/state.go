package cli

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/router"
	"godwitlock.example/godwitlock/topo"
)

const groupState = "state"

func sorted(s []string) []string {
	slices.Sort(s)
	return s
}

// oneLine replaces line breaks and other runs of white space by single spaces.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func dataCentreCommand() *command {
	var force bool
	return &command{
		name: "datacentre", group: groupState, args: "out|in NAME | list", needsPlatform: true, writes: true,
		synopsis: "take a data centre out of service or bring it back in",
		help: `
A data centre that is out gets no new work after 3 s; its keys move to servers
in other data centres, and running requests are completed. One that is back in
is refilled gradually. The last one in service is taken out only with -force.

Examples (after -platform URL -env NAME):
  godwitlock datacentre out -reason "power work" dc-b
  godwitlock datacentre in dc-b
  godwitlock datacentre list`,
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&force, "force", false, "take out even the last data centre in service")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			verb, args, err := parseAction(args, []string{"out", "in", "list"})
			if err != nil {
				return err
			}
			if verb == "list" {
				return s.listDataCentres(ctx, args)
			}
			if err := expectArgs(args, "NAME"); err != nil {
				return err
			}
			return s.write(ctx, fmt.Sprintf("%s is %s", args[0], verb), func(ctx context.Context) (operate.Receipt, error) {
				return s.operator.SetDataCentreOut(ctx, topo.DataCentreName(args[0]), verb == "out", force, s.reason)
			})
		},
	}
}

// dataCentreRow is the state of a data centre in tables and JSON output.
type dataCentreRow struct {
	Name      topo.DataCentreName `json:"name"`
	InService bool                `json:"in_service"`
	By        string              `json:"by,omitempty"`
	Reason    string              `json:"reason,omitempty"`
}

func dataCentreRows(v *config.View) []dataCentreRow {
	list := []dataCentreRow{}
	for _, dc := range v.Document().DataCentres {
		r := dataCentreRow{Name: dc.Name, InService: v.DataCentreInService(dc.Name)}
		if st := v.DataCentreState(dc.Name); st != nil {
			r.By, r.Reason = st.By, st.Reason
		}
		list = append(list, r)
	}
	return list
}

func (s *session) listDataCentres(ctx context.Context, args []string) error {
	if err := expectArgs(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := s.operator.View(ctx)
	if err != nil {
		return err
	}
	list := dataCentreRows(v)
	if s.json {
		return s.printJSON(list)
	}
	s.table(dataCentreTable(list))
	return nil
}

func dataCentreTable(list []dataCentreRow) [][]string {
	rows := [][]string{{"DATA CENTRE", "IN SERVICE", "LAST CHANGED BY", "REASON"}}
	for _, r := range list {
		rows = append(rows, []string{string(r.Name), strconv.FormatBool(r.InService), orDash(r.By), orDash(r.Reason)})
	}
	return rows
}

func drainCommand() *command {
	var undo bool
	return &command{
		name: "drain", group: groupState, args: "SERVER", needsPlatform: true, writes: true,
		synopsis: "stop sending new work to a backend server",
		help: `
Drains a backend server: it gets no new work after 3 s, and its keys move to
other servers. -undo cancels the drain.

Examples (after -platform URL -env NAME):
  godwitlock drain -reason "new disk" ledger-03
  godwitlock drain -undo ledger-03`,
		flags: func(f *flag.FlagSet) { f.BoolVar(&undo, "undo", false, "cancel the drain") },
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args, "SERVER"); err != nil {
				return err
			}
			summary := args[0] + " is draining"
			if undo {
				summary = args[0] + " takes work again"
			}
			return s.write(ctx, summary, func(ctx context.Context) (operate.Receipt, error) {
				return s.operator.DrainServer(ctx, topo.ServerID(args[0]), !undo, s.reason)
			})
		},
	}
}

func ownerCommand() *command {
	return &command{
		name: "owner", group: groupState, args: "SERVICE KEY", needsPlatform: true,
		synopsis: "print which backend server owns a key",
		help: `
Asks the VMs at -admin in order until one answers. With -platform and -env, the
error for an unknown service lists the known ones.

Example:
  godwitlock owner -admin 10.0.1.1:9000,10.0.2.1:9000 ledger device-42`,
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args, "SERVICE", "KEY"); err != nil {
				return err
			}
			if len(s.adminAddrs()) == 0 {
				return usagef("-admin is needed")
			}
			return s.owner(ctx, args[0], args[1])
		},
	}
}

func (s *session) owner(ctx context.Context, service, key string) error {
	query := url.Values{"service": {service}, "key": {key}}
	var lastErr error
	for _, addr := range s.adminAddrs() {
		var o router.Owner
		err := adminGet(ctx, addr, "/owner?"+query.Encode(), &o)
		switch {
		case errors.Is(err, errNotFound):
			return s.unknownService(ctx, service)
		case err != nil:
			lastErr = err
			continue
		case s.json:
			return s.printJSON(o)
		}
		s.table([][]string{
			{"SERVICE", "KEY", "SLICE", "SERVER", "HOME VM", "FENCE", "PHASE", "TABLE"},
			{string(o.Service), o.Key, fmt.Sprint(o.Slice), orDash(string(o.Server)), orDash(string(o.HomeVM)), o.Fence, o.Phase, o.Table},
		})
		return nil
	}
	return errors.Annotate(lastErr, "no VM at -admin answered")
}

func (s *session) unknownService(ctx context.Context, service string) error {
	if s.operator == nil {
		return errors.Annotatef(operate.ErrUnknownName, "no service is named %q", service)
	}
	v, err := s.operator.View(ctx)
	if err != nil {
		return err
	}
	var known []string
	for _, svc := range v.Document().Services {
		known = append(known, string(svc.Name))
	}
	return errors.Annotatef(operate.ErrUnknownName, "no service is named %q (known: %s)", service, strings.Join(known, ", "))
}

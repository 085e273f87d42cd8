package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/topo"
)

func statusCommand() *command {
	return &command{
		name: "status", group: groupState, needsPlatform: true,
		synopsis: "print the state of an environment and of its VMs",
		help: `
With -platform and -env: the document, data centres, draining servers and
objects that cannot be used. With -admin: each VM's role in its cell, its lease,
and the configuration that it has applied. Exit code 1 when a VM does not answer.

Examples:
  godwitlock status -platform http://10.0.0.1:7000 -env production
  godwitlock status -admin 10.0.1.1:9000,10.0.2.1:9000`,
		run: func(ctx context.Context, s *session, args []string) error {
			if err := expectArgs(args); err != nil {
				return err
			}
			return s.status(ctx)
		},
	}
}

// environmentState is the configuration of an environment as read from the
// store.
type environmentState struct {
	Env             string          `json:"env"`
	Revision        topo.Revision   `json:"revision"`
	DocumentVersion uint64          `json:"document_version"`
	Writer          string          `json:"document_writer"`
	Customers       int             `json:"customers"`
	DataCentres     []dataCentreRow `json:"data_centres"`
	Draining        []string        `json:"draining"`
	Problems        []string        `json:"problems"`
}

func (s *session) status(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out struct {
		Environment *environmentState `json:"environment,omitempty"`
		VMs         []vmStatus        `json:"vms,omitempty"`
	}
	if s.operator != nil {
		v, err := s.operator.View(ctx)
		if err != nil {
			return err
		}
		out.Environment = newEnvironmentState(v)
	}
	out.VMs = s.fetchStatuses(ctx)
	if s.json {
		if err := s.printJSON(out); err != nil {
			return err
		}
	} else {
		s.printStatus(out.Environment, out.VMs)
	}
	unreachable := 0
	for _, vm := range out.VMs {
		if vm.Error != "" {
			unreachable++
		}
	}
	if unreachable > 0 {
		return errors.Errorf("%d of %d VMs did not answer", unreachable, len(out.VMs))
	}
	return nil
}

func newEnvironmentState(v *config.View) *environmentState {
	e := &environmentState{
		Env: v.Env(), Revision: v.Revision(), Customers: len(v.Customers()), DataCentres: dataCentreRows(v),
		Draining: []string{}, Problems: []string{},
	}
	e.DocumentVersion, e.Writer = v.DocumentVersion()
	for _, svc := range v.Document().Services {
		for _, srv := range svc.Servers {
			if v.Draining(srv.ID) != nil {
				e.Draining = append(e.Draining, string(srv.ID))
			}
		}
	}
	for _, p := range v.Problems() {
		e.Problems = append(e.Problems, fmt.Sprintf("%s: %s: %s", p.Key, p.Effect, oneLine(p.Err.Error())))
	}
	return e
}

func (s *session) printStatus(env *environmentState, vms []vmStatus) {
	if env != nil {
		s.printf("%s: document version %d by %s, %s, revision %d\n",
			env.Env, env.DocumentVersion, orDash(env.Writer), count(env.Customers, "customer"), env.Revision)
		s.table(dataCentreTable(env.DataCentres))
		for _, id := range env.Draining {
			s.printf("draining: %s\n", id)
		}
		for _, p := range env.Problems {
			s.printf("problem: %s\n", p)
		}
	}
	if len(vms) > 0 {
		s.table(vmTable(vms))
	}
}

func vmTable(vms []vmStatus) [][]string {
	ctrl := currentController(vms)
	leases := map[topo.VMID]int64{}
	if ctrl != nil {
		for _, m := range ctrl.Members {
			leases[m.VM] = m.LeaseMs
		}
	}
	rows := [][]string{{"VM", "ADMIN", "ROLE", "TERM", "LEASE", "FRESH", "REVISION", "DOCUMENT", "TABLE", "SERVERS", "PROBLEMS"}}
	for _, vm := range vms {
		st := vm.State
		if st == nil {
			rows = append(rows, []string{"?", vm.Addr, "no answer: " + oneLine(vm.Error)})
			continue
		}
		lease := "-"
		if ms, ok := leases[st.VM]; ok {
			lease = fmt.Sprintf("%d ms", ms)
		}
		rows = append(rows, []string{
			string(st.VM), vm.Addr, role(st, ctrl), fmt.Sprint(st.Term), lease, strconv.FormatBool(st.Fresh),
			fmt.Sprint(st.ConfigRevision), strconv.FormatUint(st.DocumentVersion, 10), st.TableVersion,
			strconv.Itoa(len(st.Servers)), strconv.Itoa(st.Problems),
		})
	}
	return rows
}

func role(st, ctrl *control.Status) string {
	if st == ctrl {
		return "controller"
	}
	roster := st.Roster
	if ctrl != nil {
		roster = ctrl.Roster // other VMs may still have an older roster
	}
	for _, vm := range roster {
		if vm == st.VM {
			return "witness"
		}
	}
	return "member"
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/topo"
)

const groupCustomer = "customers and caller keys"

// parseAction returns the action that the first argument names, and the remaining
// arguments.
func parseAction(args, known []string) (string, []string, error) {
	if len(args) == 0 {
		return "", nil, usagef("missing action (known: %s)", strings.Join(known, ", "))
	}
	for _, k := range known {
		if args[0] == k {
			return k, args[1:], nil
		}
	}
	return "", nil, unknownName("action", args[0], known)
}

// customerFlags holds the values of the customer command's flags.
type customerFlags struct {
	rate float64
	base uint64
	// The others are nil if their flags are missing. An empty list of services withdraws
	// all of them.
	burst    *float64
	weight   *int
	services *string
}

func customerCommand() *command {
	var c customerFlags
	return &command{
		name: "customer", group: groupCustomer, args: "create|rate|services|remove|list [CUSTOMER]",
		needsPlatform: true, writes: true, synopsis: "create, change, remove and list customers",
		help: `
The burst must be at least the rate times 1 s. The services are those that the
customer may use on routes that are not open to all.

Examples (after -platform URL -env NAME):
  godwitlock customer create -rate 100 -burst 200 -services ledger,images acme
  godwitlock customer rate -rate 150 -burst 300 acme
  godwitlock customer services -services ledger acme
  godwitlock customer remove -reason "contract ended" acme
  godwitlock customer list`,
		flags: func(f *flag.FlagSet) {
			f.Float64Var(&c.rate, "rate", 0, "`requests` per second over all VMs")
			f.Func("burst", "`requests` at once; twice the rate by default", func(s string) error {
				v, err := strconv.ParseFloat(s, 64)
				c.burst = &v
				return err
			})
			f.Func("weight", "`share` in fair queues; by default 1 for a new customer, otherwise unchanged", func(s string) error {
				v, err := strconv.Atoi(s)
				c.weight = &v
				return err
			})
			f.Func("services", "`names` of services, separated by commas; \"\" for none", func(s string) error {
				c.services = &s
				return nil
			})
			defineBaseFlag(f, &c.base)
		},
		run: func(ctx context.Context, s *session, args []string) error { return s.customer(ctx, c, args) },
	}
}

func (s *session) customer(ctx context.Context, c customerFlags, args []string) error {
	verb, args, err := parseAction(args, []string{"create", "rate", "services", "remove", "list"})
	if err != nil {
		return err
	}
	if verb == "list" {
		return s.listCustomers(ctx, args)
	}
	if err := expectArgs(args, "CUSTOMER"); err != nil {
		return err
	}
	if c.weight != nil && *c.weight < 1 {
		return usagef("-weight %d is below 1", *c.weight)
	}
	if c.rate == 0 && (verb == "create" || verb == "rate") {
		return usagef("-rate is needed")
	}
	if verb == "services" && c.services == nil {
		return usagef(`-services is needed; -services "" withdraws all services`)
	}
	id := topo.CustomerID(args[0])
	return s.write(ctx, fmt.Sprintf("customer %s: %s done", id, verb), func(ctx context.Context) (operate.Receipt, error) {
		return s.changeCustomer(ctx, verb, id, c)
	})
}

// serviceNames returns the names of the flag -services.
func (c customerFlags) serviceNames() []topo.ServiceName {
	if c.services == nil {
		return nil
	}
	var names []topo.ServiceName
	for _, name := range strings.FieldsFunc(*c.services, func(r rune) bool { return r == ',' || r == ' ' }) {
		names = append(names, topo.ServiceName(name))
	}
	return names
}

func (s *session) changeCustomer(ctx context.Context, verb string, id topo.CustomerID, c customerFlags) (operate.Receipt, error) {
	services, burst, weight := c.serviceNames(), 2*c.rate, 0
	if c.burst != nil {
		burst = *c.burst
	}
	if c.weight != nil {
		weight = *c.weight
	}
	switch verb {
	case "create":
		return s.operator.CreateCustomer(ctx, config.Customer{
			ID: id, Rate: c.rate, Burst: burst, Weight: weight, Services: services,
		}, s.reason)
	case "rate":
		return s.operator.SetRate(ctx, id, c.rate, burst, weight, c.base, s.reason)
	case "services":
		return s.operator.SetServices(ctx, id, services, c.base, s.reason)
	}
	return s.operator.RemoveCustomer(ctx, id, c.base, s.reason)
}

// customerRow is a customer in JSON output. It omits the hashes of the caller
// keys.
type customerRow struct {
	ID       topo.CustomerID    `json:"id"`
	Rate     float64            `json:"rate"`
	Burst    float64            `json:"burst"`
	Weight   int                `json:"weight"`
	Services []topo.ServiceName `json:"services"`
	Keys     int                `json:"caller_keys"`
}

func (s *session) listCustomers(ctx context.Context, args []string) error {
	if err := expectArgs(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := s.operator.View(ctx)
	if err != nil {
		return err
	}
	list := []customerRow{}
	rows := [][]string{{"CUSTOMER", "RATE/S", "BURST", "WEIGHT", "SERVICES", "CALLER KEYS"}}
	for _, id := range v.Customers() {
		c := v.Customer(id)
		list = append(list, customerRow{c.ID, c.Rate, c.Burst, c.Weight, c.Services, len(c.Keys)})
		var services []string
		for _, name := range c.Services {
			services = append(services, string(name))
		}
		rows = append(rows, []string{
			string(c.ID), fmt.Sprint(c.Rate), fmt.Sprint(c.Burst), strconv.Itoa(c.Weight),
			orDash(strings.Join(services, ",")), strconv.Itoa(len(c.Keys)),
		})
	}
	if s.json {
		return s.printJSON(list)
	}
	s.table(rows)
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

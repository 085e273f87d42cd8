// Package bound calculates how much of the worth of a day's requests any router
// could earn at most: from what arrives, what the servers can do and which of them
// are lost, without the losses that a router may avoid.
//
// Time is divided into bins. Requests that arrive in a bin are work, which the slots
// of the bins up to their objective, or later up to their deadline, can do. How much
// work gets done is a maximum flow; kinds of request enter it in the order of worth
// per work, which is optimal for divisible work. Each part of the result is bounded
// on its own, so that no schedule reaches more of any part.
package bound

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// binWidth is the width of a bin.
	binWidth = 250 * time.Millisecond
	// windowBins is the number of bins in a window of which the worst ones count.
	windowBins = 8
	// worstWindows is the number of windows that count.
	worstWindows = 2
)

// Service is a set of servers that do the same work.
type Service struct {
	Name string
	// Slots is the work that all servers do per second, in seconds at the usual
	// speed. ServerSlots is the same for the fastest server.
	Slots, ServerSlots float64
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Services are those that may run it.
	Services []string
	// Work is the mean time that a request takes in a slot at the usual speed.
	Work time.Duration
	// A response within Objective earns Worth, one within Deadline earns LateWorth.
	Objective, Deadline time.Duration
	Worth, LateWorth    float64
}

// Load is traffic of one kind.
type Load struct {
	Kind      string
	From, To  time.Duration
	PerSecond float64
}

// Change is a change of the capacity of a service. If several services are named, it
// strikes one of them, and the bound assumes the least harmful.
type Change struct {
	Services []string
	From, To time.Duration
	// Factor multiplies the capacity.
	Factor float64
}

// HotKeys is traffic that only the owners of few keys can serve. If several kinds are
// named, it is one of them, and the bound assumes the least harmful.
type HotKeys struct {
	Kinds    []string
	From, To time.Duration
	// Share is the part of the kind's requests, divided among Keys keys.
	Share float64
	Keys  int
}

// Weights are the weights of the parts in the result.
type Weights struct{ Day, Windows, Kind, Served float64 }

// Day is the traffic and the capacity of a day.
type Day struct {
	Name     string
	Length   time.Duration
	Services []Service
	Kinds    []Kind
	Loads    []Load
	Changes  []Change
	HotKeys  []HotKeys
	Weights  Weights
}

// Result holds upper bounds, each a fraction of what was asked for.
type Result struct {
	// Day is the worth earned, Windows the same in the worst windows, Kind that of
	// the worst kind and Served the share of requests that are served at all.
	Day, Windows, Kind, Served float64
	// WorstKind is the kind that Kind speaks of.
	WorstKind string
	// Total is the weighted sum of the parts.
	Total float64
}

// Of returns the bounds for a day.
func Of(d Day) Result {
	d = resolve(d)
	var r Result
	r.Day = newPlan(d, nil, 0, math.MaxInt).worth()
	r.Served = newPlan(servedOnly(d), nil, 0, math.MaxInt).worth()
	r.Kind = math.Inf(1)
	for _, k := range d.Kinds {
		share := newPlan(d, []string{k.Name}, 0, math.MaxInt).worth()
		if share < r.Kind {
			r.Kind, r.WorstKind = share, k.Name
		}
	}
	r.Windows = worstWindowsOf(d)
	w := d.Weights
	r.Total = w.Day*r.Day + w.Windows*r.Windows + w.Kind*r.Kind + w.Served*r.Served
	return r
}

// worstWindowsOf bounds the mean worth of the worst windows: each as if nothing arrived
// outside it.
func worstWindowsOf(d Day) float64 {
	var shares []float64
	for first := 0; first+windowBins <= bins(d.Length); first += windowBins {
		shares = append(shares, newPlan(d, nil, first, first+windowBins).worth())
	}
	slices.Sort(shares)
	shares = shares[:min(worstWindows, len(shares))]
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	return sum / float64(max(1, len(shares)))
}

// servedOnly returns the day with the same worth for each request that is served.
func servedOnly(d Day) Day {
	d.Kinds = slices.Clone(d.Kinds)
	for i := range d.Kinds {
		d.Kinds[i].Worth, d.Kinds[i].LateWorth = 1, 1
		d.Kinds[i].Objective = d.Kinds[i].Deadline
	}
	return d
}

// resolve names the least harmful of several possible services and kinds, one after
// the other.
func resolve(d Day) Day {
	changes, hot := d.Changes, d.HotKeys
	d.Changes, d.HotKeys = nil, nil
	for _, c := range changes {
		d.Changes = append(d.Changes, leastHarmful(c.Services, func(service string) (Change, Day) {
			option, with := c, d
			option.Services = []string{service}
			with.Changes = append(slices.Clone(d.Changes), option)
			return option, with
		}))
	}
	for _, h := range hot {
		d.HotKeys = append(d.HotKeys, leastHarmful(h.Kinds, func(kind string) (HotKeys, Day) {
			option, with := h, d
			option.Kinds = []string{kind}
			with.HotKeys = append(slices.Clone(d.HotKeys), option)
			return option, with
		}))
	}
	return d
}

// leastHarmful returns the option with which a day is worth most.
func leastHarmful[T any](names []string, option func(name string) (T, Day)) T {
	var best T
	bestWorth := math.Inf(-1)
	for _, name := range names {
		o, day := option(name)
		if len(names) == 1 {
			return o
		}
		if worth := newPlan(day, nil, 0, math.MaxInt).worth(); worth > bestWorth {
			best, bestWorth = o, worth
		}
	}
	return best
}

func bins(t time.Duration) int { return int(t / binWidth) }

// overlap returns the part of a bin that lies between from and to.
func overlap(bin int, from, to time.Duration) float64 {
	begin, end := time.Duration(bin)*binWidth, time.Duration(bin+1)*binWidth
	return max(0, float64(min(end, to)-max(begin, from))) / float64(binWidth)
}

// capacity returns the work that a service can do in a bin, in microseconds.
func (d Day) capacity(s Service, bin int) int64 {
	slots := s.Slots
	for _, c := range d.Changes {
		if slices.Contains(c.Services, s.Name) {
			slots *= 1 + (c.Factor-1)*overlap(bin, c.From, c.To)
		}
	}
	return int64(slots * float64(binWidth.Microseconds()))
}

// arrivals returns the requests of a kind that arrive in a bin, and the part of them
// that is for few keys, for which hotServers servers can do the work at most.
func (d Day) arrivals(k Kind, bin int) (requests, hotShare float64, hotServers int) {
	for _, l := range d.Loads {
		if l.Kind == k.Name {
			requests += l.PerSecond * overlap(bin, l.From, l.To) * binWidth.Seconds()
		}
	}
	for _, h := range d.HotKeys {
		if slices.Contains(h.Kinds, k.Name) {
			hotShare += h.Share * overlap(bin, h.From, h.To)
			if overlap(bin, h.From, h.To) > 0 {
				hotServers += h.Keys
			}
		}
	}
	return requests, min(1, hotShare), hotServers
}

// item is the work of one kind that arrives in one bin.
type item struct {
	kind     Kind
	bin      int
	hot      bool
	requests float64
	node     int
	// prompt and late are the edges that carry the work done in time and later.
	prompt, late int
}

// plan is the flow network of a day.
type plan struct {
	day          Day
	net          network
	source, sink int
	// slots holds the nodes of the bins of each service, owners those of the servers
	// that own the hot keys of a kind.
	slots  map[string][]int
	owners map[string][]int
	items  []*item
	owed   float64
}

// newPlan returns the plan for the requests that arrive from bin first to before bin
// end, of the given kinds or of all.
func newPlan(d Day, kinds []string, first, end int) *plan {
	p := &plan{day: d, slots: make(map[string][]int), owners: make(map[string][]int)}
	p.source, p.sink = p.net.node(), p.net.node()
	horizon := bins(d.Length)
	for _, k := range d.Kinds {
		horizon = max(horizon, bins(d.Length+k.Deadline))
	}
	for _, s := range d.Services {
		for bin := range horizon {
			n := p.net.node()
			p.net.connect(n, p.sink, d.capacity(s, bin))
			p.slots[s.Name] = append(p.slots[s.Name], n)
		}
	}
	for _, k := range d.Kinds {
		if len(kinds) > 0 && !slices.Contains(kinds, k.Name) {
			continue
		}
		p.addOwners(k, horizon)
		for bin := first; bin < min(end, bins(d.Length)); bin++ {
			requests, hotShare, _ := d.arrivals(k, bin)
			p.addItem(k, bin, false, requests*(1-hotShare))
			p.addItem(k, bin, true, requests*hotShare)
			p.owed += requests * k.Worth
		}
	}
	return p
}

// addOwners adds the nodes of the servers that own the hot keys of a kind. They do
// their work in the slots of its services.
func (p *plan) addOwners(k Kind, horizon int) {
	for bin := range horizon {
		_, _, servers := p.day.arrivals(k, min(bin, bins(p.day.Length)-1))
		for back := bin - bins(k.Deadline); servers == 0 && back < bin; back++ {
			// Hot requests that arrived before may still wait.
			_, _, servers = p.day.arrivals(k, max(0, back))
		}
		n := p.net.node()
		p.owners[k.Name] = append(p.owners[k.Name], n)
		for _, s := range p.day.Services {
			if slices.Contains(k.Services, s.Name) {
				work := float64(servers) * s.ServerSlots * float64(binWidth.Microseconds())
				p.net.connect(n, p.slots[s.Name][bin], int64(work))
			}
		}
	}
}

func (p *plan) addItem(k Kind, bin int, hot bool, requests float64) {
	if requests > 0 {
		p.items = append(p.items, &item{kind: k, bin: bin, hot: hot, requests: requests, node: p.net.node()})
	}
}

// worth returns the share of the worth of the plan's requests that can be earned.
func (p *plan) worth() float64 {
	type class struct {
		kind    Kind
		late    bool
		density float64
	}
	var order []class
	for _, k := range p.day.Kinds {
		work := k.Work.Seconds()
		order = append(order, class{k, false, k.Worth / work})
		if k.LateWorth > 0 {
			order = append(order, class{k, true, k.LateWorth / work})
		}
	}
	slices.SortStableFunc(order, func(a, b class) int { return cmp.Compare(b.density, a.density) })
	for _, c := range order {
		for _, it := range p.items {
			if it.kind.Name == c.kind.Name {
				p.offer(it, c.late)
			}
		}
		p.net.augment(p.source, p.sink)
	}
	if p.owed == 0 {
		return 1
	}
	earned := 0.0
	for _, it := range p.items {
		perWork := 1 / float64(it.kind.Work.Microseconds())
		earned += float64(p.net.flow(it.prompt)) * perWork * it.kind.Worth
		if it.late > 0 {
			earned += float64(p.net.flow(it.late)) * perWork * it.kind.LateWorth
		}
	}
	return min(1, earned/p.owed)
}

// offer connects an item with the slots that can do its work in time, or later.
func (p *plan) offer(it *item, late bool) {
	work := int64(math.Ceil(it.requests * float64(it.kind.Work.Microseconds())))
	first, last := it.bin, it.bin+bins(it.kind.Objective)
	node := it.node
	if late {
		first, last = last+1, it.bin+bins(it.kind.Deadline)
		work -= p.net.flow(it.prompt)
		node = p.net.node()
		it.late = p.net.connect(p.source, node, work)
	} else {
		it.prompt = p.net.connect(p.source, node, work)
	}
	for bin := first; bin <= last; bin++ {
		if it.hot {
			if nodes := p.owners[it.kind.Name]; bin < len(nodes) {
				p.net.connect(node, nodes[bin], work)
			}
			continue
		}
		for _, name := range it.kind.Services {
			if nodes := p.slots[name]; bin < len(nodes) {
				p.net.connect(node, nodes[bin], work)
			}
		}
	}
}

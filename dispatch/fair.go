package dispatch

import (
	"container/list"

	"godwitlock.example/godwitlock/topo"
)

// Bounds of a weight. They limit the number of rounds that a flow with a low
// weight needs to earn one request, so that each scheduling decision stays short.
const (
	minWeight = 0.1
	maxWeight = 10
)

// newFlowCredit is the number of requests that a flow may dispatch ahead of
// backlogged flows after it was idle.
const newFlowCredit = 4

// class schedules the flows of one request class by deficit round robin. As in
// RFC 8290 (FQ-CoDel), a flow that becomes active is a new flow and is served
// before the old flows, up to newFlowCredit requests, so that a customer within
// its share waits for a slot but not for a whole round. A flow becomes new again
// only after it has earned this credit back, which keeps the shares proportional
// to the weights.
type class struct {
	flows   map[topo.CustomerID]*flow
	weights map[topo.CustomerID]float64
	// greatestWeight is the highest weight of a customer, at least 1. A flow
	// with this weight gets one request per round.
	greatestWeight float64
	newFlows       *list.List // of *flow
	oldFlows       *list.List // of *flow
	queued         int
	running        int
}

// flow is the queue of one customer in one class.
type flow struct {
	class    *class
	customer topo.CustomerID
	queue    *list.List // of *entry
	elements map[*entry]*list.Element
	deficit  float64
	// scheduledIn is newFlows, oldFlows, or nil when the flow is not scheduled.
	scheduledIn *list.List
	position    *list.Element
}

func newClass() *class {
	return &class{
		flows:          make(map[topo.CustomerID]*flow),
		weights:        make(map[topo.CustomerID]float64),
		greatestWeight: 1,
		newFlows:       list.New(),
		oldFlows:       list.New(),
	}
}

func (c *class) setWeight(id topo.CustomerID, w float64) {
	c.weights[id] = min(max(w, minWeight), maxWeight)
	c.greatestWeight = 1
	for _, w := range c.weights {
		c.greatestWeight = max(c.greatestWeight, w)
	}
}

func (c *class) weight(id topo.CustomerID) float64 {
	if w, ok := c.weights[id]; ok {
		return w
	}
	return 1
}

func (c *class) flow(id topo.CustomerID) *flow {
	f := c.flows[id]
	if f == nil {
		f = &flow{class: c, customer: id, queue: list.New(), elements: make(map[*entry]*list.Element)}
		c.flows[id] = f
	}
	return f
}

// removeIfIdle removes a flow that has no queued requests and is not scheduled.
func (c *class) removeIfIdle(f *flow) {
	if f.len() == 0 && f.scheduledIn == nil {
		delete(c.flows, f.customer)
	}
}

func (c *class) push(f *flow, e *entry) {
	f.elements[e] = f.queue.PushBack(e)
	c.queued++
	if f.scheduledIn == nil {
		f.deficit = newFlowCredit
		f.schedule(c.newFlows)
	}
}

// peek returns the next entry without removing it, or nil if nothing is queued.
func (c *class) peek() *entry {
	for c.queued > 0 {
		from := c.newFlows
		if from.Len() == 0 {
			from = c.oldFlows
		}
		f := from.Front().Value.(*flow)
		switch {
		case f.len() == 0 && f.deficit >= newFlowCredit:
			f.schedule(nil)
			c.removeIfIdle(f)
		case f.len() == 0 || f.deficit < 1:
			f.deficit += c.weight(f.customer) / c.greatestWeight
			f.schedule(c.oldFlows)
		default:
			return f.queue.Front().Value.(*entry)
		}
	}
	return nil
}

// longest returns the flow with the most queued requests in proportion to its
// weight among f and the flows of the class. Ties go to the lower customer ID.
func (c *class) longest(f *flow) *flow {
	size := func(f *flow) float64 { return float64(f.len()) / f.class.weight(f.customer) }
	for _, g := range c.flows {
		if size(g) > size(f) || size(g) == size(f) && g.customer < f.customer {
			f = g
		}
	}
	return f
}

func (f *flow) len() int { return f.queue.Len() }

func (f *flow) newest() *entry { return f.queue.Back().Value.(*entry) }

func (f *flow) remove(e *entry) {
	f.queue.Remove(f.elements[e])
	delete(f.elements, e)
	f.class.queued--
}

// schedule moves the flow to the end of dst, or unschedules it if dst is nil.
func (f *flow) schedule(dst *list.List) {
	if f.scheduledIn != nil {
		f.scheduledIn.Remove(f.position)
	}
	f.scheduledIn, f.position = dst, nil
	if dst != nil {
		f.position = dst.PushBack(f)
	}
}

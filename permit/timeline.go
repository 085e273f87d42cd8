package permit

import "time"

// timeline holds queued requests in the order of a time, with the sum of their
// expected work. It is a treap: adding, removing, and the work before a time take
// logarithmic time.
type timeline struct {
	root *timelineNode
}

type timelineNode struct {
	w           *waiter
	at          time.Time
	heap        uint64
	left, right *timelineNode
	// work, maxWork and count are those of the node and the nodes below it.
	work, maxWork time.Duration
	count         int
}

func (n *timelineNode) update() {
	n.work, n.maxWork, n.count = n.w.Work.Mean, n.w.Work.Mean, 1
	for _, c := range []*timelineNode{n.left, n.right} {
		if c != nil {
			n.work += c.work
			n.maxWork = max(n.maxWork, c.maxWork)
			n.count += c.count
		}
	}
}

// before orders requests by time, and those of the same time by arrival.
func (n *timelineNode) before(at time.Time, seq uint64) bool {
	return n.at.Before(at) || n.at.Equal(at) && n.w.seq < seq
}

// split returns the nodes that are before a time and sequence number, and the others.
func (n *timelineNode) split(at time.Time, seq uint64) (l, r *timelineNode) {
	if n == nil {
		return nil, nil
	}
	if n.before(at, seq) {
		n.right, r = n.right.split(at, seq)
		n.update()
		return n, r
	}
	l, n.left = n.left.split(at, seq)
	n.update()
	return l, n
}

// joined returns the nodes of l followed by those of r.
func joined(l, r *timelineNode) *timelineNode {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.heap > r.heap:
		l.right = joined(l.right, r)
		l.update()
		return l
	}
	r.left = joined(l, r.left)
	r.update()
	return r
}

func (t *timeline) add(at time.Time, w *waiter) {
	n := &timelineNode{w: w, at: at, heap: mix(w.seq)}
	n.update()
	l, r := t.root.split(at, w.seq)
	t.root = joined(joined(l, n), r)
}

func (t *timeline) remove(at time.Time, w *waiter) {
	l, rest := t.root.split(at, w.seq)
	_, r := rest.split(at, w.seq+1)
	t.root = joined(l, r)
}

// first returns the first request; nil if there is none.
func (t *timeline) first() *waiter {
	n := t.root
	if n == nil {
		return nil
	}
	for n.left != nil {
		n = n.left
	}
	return n.w
}

// before returns the number, the sum of the work and the greatest work of the requests
// whose time is not after at.
func (t *timeline) before(at time.Time) (count int, work, most time.Duration) {
	for n := t.root; n != nil; {
		if n.at.After(at) {
			n = n.left
			continue
		}
		count++
		work += n.w.Work.Mean
		most = max(most, n.w.Work.Mean)
		if n.left != nil {
			count += n.left.count
			work += n.left.work
			most = max(most, n.left.maxWork)
		}
		n = n.right
	}
	return count, work, most
}

// work returns the sum of the work.
func (t *timeline) work() time.Duration {
	if t.root == nil {
		return 0
	}
	return t.root.work
}

// each calls f with each request in order. f must not change the timeline.
func (t *timeline) each(f func(*waiter)) { t.root.each(f) }

func (n *timelineNode) each(f func(*waiter)) {
	if n != nil {
		n.left.each(f)
		f(n.w)
		n.right.each(f)
	}
}

// mix returns a number that looks random and depends only on seq (SplitMix64).
func mix(seq uint64) uint64 {
	z := seq + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

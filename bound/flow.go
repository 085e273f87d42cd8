package bound

// network is a flow network with integer capacities, to which edges can be added
// after a flow was found. It finds maximum flows by Dinic's algorithm.
type network struct {
	edges []edge
	// out holds the indices of the edges that leave each node. The edge at index
	// i^1 is the reverse of the one at i.
	out    [][]int
	level  []int
	cursor []int
}

type edge struct {
	to   int
	left int64
}

// node adds a node and returns its number.
func (n *network) node() int {
	n.out = append(n.out, nil)
	return len(n.out) - 1
}

// connect adds an edge and returns its index.
func (n *network) connect(from, to int, capacity int64) int {
	i := len(n.edges)
	n.edges = append(n.edges, edge{to, capacity}, edge{from, 0})
	n.out[from] = append(n.out[from], i)
	n.out[to] = append(n.out[to], i+1)
	return i
}

// flow returns the flow through an edge.
func (n *network) flow(edge int) int64 { return n.edges[edge^1].left }

// augment adds as much flow from source to sink as possible. It never reduces the
// flow through an edge that leaves the source.
func (n *network) augment(source, sink int) {
	for n.label(source, sink) {
		n.cursor = make([]int, len(n.out))
		for n.push(source, sink, maxCapacity) > 0 {
		}
	}
}

const maxCapacity = int64(1) << 60

// label numbers the nodes by their distance from source, and reports whether sink can
// be reached.
func (n *network) label(source, sink int) bool {
	n.level = make([]int, len(n.out))
	n.level[source] = 1
	for queue := []int{source}; len(queue) > 0; queue = queue[1:] {
		for _, i := range n.out[queue[0]] {
			if e := n.edges[i]; e.left > 0 && n.level[e.to] == 0 {
				n.level[e.to] = n.level[queue[0]] + 1
				queue = append(queue, e.to)
			}
		}
	}
	return n.level[sink] > 0
}

// push sends up to limit from a node to sink along one path of ascending levels.
func (n *network) push(at, sink int, limit int64) int64 {
	if at == sink {
		return limit
	}
	for ; n.cursor[at] < len(n.out[at]); n.cursor[at]++ {
		i := n.out[at][n.cursor[at]]
		e := n.edges[i]
		if e.left <= 0 || n.level[e.to] != n.level[at]+1 {
			continue
		}
		if sent := n.push(e.to, sink, min(limit, e.left)); sent > 0 {
			n.edges[i].left -= sent
			n.edges[i^1].left += sent
			return sent
		}
	}
	return 0
}

package authority

import (
	"fmt"
	"runtime"
	"sync"
)

// reachedState is a state that the exploration reached from node parent by action
// act.
type reachedState struct {
	key       string
	wd        *world
	parent    int
	act       action
	violation string
}

// node records how a visited state was reached: by act from node parent. The initial
// state has parent -1.
type node struct {
	parent int
	act    action
}

// result is the outcome of an exploration. violation is empty when every visited
// state keeps the guarantees.
type result struct {
	states int
	// complete is set when all reachable states were visited, and false when the
	// exploration stopped at maxStates or at a violation.
	complete  bool
	violation string
	trace     []string
}

// explore visits the reachable states in breadth-first order, until the first
// violation or the end of the level that exceeds maxStates. Workers expand one
// level at a time and their results are merged in the order of the level, so the
// result does not depend on the number of workers.
func explore(p *params) result {
	first := newWorld(p)
	seen := map[string]struct{}{string(first.key(nil)): {}}
	nodes := []node{{parent: -1}}
	level, base := []*world{first}, 0
	acts := allActions(p)
	for len(level) > 0 {
		var next []*world
		for _, part := range expandLevel(p, level, base, acts, seen) {
			for _, f := range part {
				if _, ok := seen[f.key]; ok {
					continue
				}
				seen[f.key] = struct{}{}
				nodes = append(nodes, node{f.parent, f.act})
				if f.violation != "" {
					return result{states: len(nodes), violation: f.violation, trace: traceOf(nodes)}
				}
				next = append(next, f.wd)
			}
		}
		base += len(level)
		level = next
		if len(nodes) > p.maxStates {
			return result{states: len(nodes)}
		}
	}
	return result{states: len(nodes), complete: true}
}

// expandLevel divides a level among parallel workers and returns the states that each
// worker reached. base is the node index of the first state of the level.
func expandLevel(p *params, level []*world, base int, acts []action, seen map[string]struct{}) [][]reachedState {
	workers := min(8, runtime.GOMAXPROCS(0))
	size := (len(level) + workers - 1) / workers
	parts := make([][]reachedState, workers)
	var wg sync.WaitGroup
	for i := range workers {
		lo, hi := min(i*size, len(level)), min((i+1)*size, len(level))
		wg.Go(func() { parts[i] = expand(p, level[lo:hi], base+lo, acts, seen) })
	}
	wg.Wait()
	return parts
}

// expand returns the states not in seen that one action reaches from states.
func expand(p *params, states []*world, base int, acts []action, seen map[string]struct{}) []reachedState {
	var out []reachedState
	var buf []byte
	local := map[string]struct{}{}
	scratch := &world{}
	for i, wd := range states {
		for _, a := range acts {
			if !a.enabled(p, wd) {
				continue
			}
			scratch.copyFrom(wd)
			if !a.apply(p, scratch) {
				continue
			}
			scratch.recordAuthority()
			buf = scratch.key(buf[:0])
			if _, ok := seen[string(buf)]; ok {
				continue
			}
			if _, ok := local[string(buf)]; ok {
				continue
			}
			n := &world{}
			n.copyFrom(scratch)
			f := reachedState{string(buf), n, base + i, a, n.violation()}
			local[f.key] = struct{}{}
			out = append(out, f)
		}
	}
	return out
}

// traceOf returns the actions that lead from the initial state to the last node.
func traceOf(nodes []node) []string {
	var trace []string
	for i := len(nodes) - 1; nodes[i].parent >= 0; i = nodes[i].parent {
		trace = append([]string{fmt.Sprint(nodes[i].act)}, trace...)
	}
	return trace
}

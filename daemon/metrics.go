package daemon

import (
	"expvar"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// serverMetrics is a home VM's state of one backend server.
type serverMetrics struct {
	Queued        int     `json:"queued_requests"`
	Running       int     `json:"running_requests"`
	RatePerSecond float64 `json:"requests_per_second"`
	Cold          bool    `json:"cold"`
	LeaseLost     bool    `json:"lease_lost"`
	DrainedSlices int     `json:"drained_slices"`
	ClaimedSlices int     `json:"claimed_slices"`
	ClaimTerm     uint64  `json:"claims_term"`
}

// vars returns the daemon's metrics. The names contain the units.
func (d *Daemon) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("front_end", d.gateway.Vars())
	m.Set("control", expvar.Func(func() any { return d.node.Status() }))
	m.Set("backend_servers", expvar.Func(func() any { return d.serverMetrics() }))
	m.Set("freshness_left_seconds", expvar.Func(func() any { return d.freshness.Remaining(time.Now()).Seconds() }))
	t := &d.pool.Traffic
	m.Set("peer_control_bytes_total", expvar.Func(func() any { return t.Control.Load() }))
	m.Set("peer_control_calls_total", expvar.Func(func() any { return t.ControlCalls.Load() }))
	m.Set("peer_forward_bytes_total", expvar.Func(func() any { return t.Forward.Load() }))
	return m
}

func (d *Daemon) serverMetrics() map[topo.ServerID]serverMetrics {
	out := make(map[topo.ServerID]serverMetrics)
	for _, r := range d.home.Reports() {
		out[r.Server] = serverMetrics{
			Queued: r.Queued, Running: r.Running, RatePerSecond: r.Rate, Cold: r.Cold, LeaseLost: r.Lost,
			DrainedSlices: len(r.Drained), ClaimedSlices: len(r.Claims), ClaimTerm: uint64(r.ClaimsTerm),
		}
	}
	return out
}

package permit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/health"
	"godwitlock.example/godwitlock/topo"
)

// unevenLoad is a load on servers that differ: in speed, by a host that is busy for some
// hundred milliseconds at a time, and by one server that never answers a part of its
// requests.
type unevenLoad struct {
	// reports says that servers report their slowdown, ejects that failing ones are
	// ejected.
	reports, ejects bool
	// hanging is the share of requests that the first server never answers.
	hanging float64
}

const (
	unevenWork    = 200 * time.Millisecond
	unevenTimeout = 1500 * time.Millisecond
)

// unevenOutcome counts what callers got.
type unevenOutcome struct{ prompt, late, failed, refused int }

// event is the end of a request.
type event struct {
	at     time.Time
	id     uint64
	result Result
	took   time.Duration
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run plays 60 s of requests at half of the servers' capacity.
func (l unevenLoad) run(seed uint64) unevenOutcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	speeds := map[topo.ServerID]float64{"s1": 1, "s2": 0.5, "s3": 1, "s4": 1.5, "s5": 1, "s6": 0.7}
	var servers []Server
	for id := range speeds {
		servers = append(servers, Server{ID: id, Slots: 4})
	}
	p := newPool(servers...)
	if l.ejects {
		p.EjectServers(func(topo.ServerID, health.State) {})
	}
	slowdown := func(id topo.ServerID, at time.Time) float64 {
		// One server in five is slowed to a third for 400 ms at a time.
		window := uint64(at.Sub(start) / (400 * time.Millisecond))
		if rand.New(rand.NewPCG(window, uint64(id[1]))).Float64() < 0.2 {
			return 3
		}
		return 1
	}
	var out unevenOutcome
	var ends events
	begin := func(now time.Time, d Decision) {
		if d.Verdict != Granted {
			out.refused++
			return
		}
		work := unevenWork.Seconds() * math.Exp(0.5*rng.NormFloat64()-0.125)
		took := time.Duration(work / speeds[d.Server] * slowdown(d.Server, now) * float64(time.Second))
		r := Result{ServiceTime: took}
		if took > unevenTimeout || d.Server == "s1" && rng.Float64() < l.hanging {
			took, r = unevenTimeout, Result{Failed: true}
		} else if l.reports {
			r.Slowdown = slowdown(d.Server, now.Add(took))
		}
		heap.Push(&ends, event{at: now.Add(took), id: d.ID, result: r, took: took})
	}
	now := start
	for id := uint64(1); now.Before(start.Add(time.Minute)); id++ {
		next := now.Add(time.Duration(rng.ExpFloat64() / 60 * float64(time.Second)))
		for len(ends) > 0 && ends[0].at.Before(next) {
			e := heap.Pop(&ends).(event)
			p.Finish(e.at, e.id, e.result)
			switch {
			case e.result.Failed:
				out.failed++
			case e.took > 2*unevenWork:
				out.late++
			default:
				out.prompt++
			}
			for _, d := range p.Tick(e.at) {
				begin(e.at, d)
			}
		}
		now = next
		r := request(id, now)
		r.Lease = time.Minute
		if d := p.Offer(now, r); d.Verdict != Queued {
			begin(now, d)
		}
	}
	return out
}

// Guards against sending requests to servers that are slow at the moment although they say
// so: callers would get late answers while faster servers have free slots.
func TestReportedSlowdownSparesCallers(t *testing.T) {
	var with, without unevenOutcome
	for seed := range uint64(5) {
		a, b := unevenLoad{reports: true}.run(seed), unevenLoad{}.run(seed)
		with.late, without.late = with.late+a.late+a.failed, without.late+b.late+b.failed
	}
	t.Logf("late or failed with reports %d, without %d", with.late, without.late)
	require.Less(t, float64(with.late), 0.9*float64(without.late))
}

// Guards against a server that never answers a part of its requests and goes on getting
// its share of those that must not be repeated: each one lost is an unknown outcome.
func TestEjectionSparesCallersOfAHangingServer(t *testing.T) {
	var with, without unevenOutcome
	for seed := range uint64(5) {
		a, b := unevenLoad{reports: true, ejects: true, hanging: 0.45}.run(seed), unevenLoad{reports: true, hanging: 0.45}.run(seed)
		with.failed, without.failed = with.failed+a.failed, without.failed+b.failed
	}
	t.Logf("failed with ejection %d, without %d", with.failed, without.failed)
	require.Less(t, 2*with.failed, without.failed)
}

package permit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// warmthRun offers requests to a pool with one server that becomes cold, and answers the
// probes that the pool asks for.
type warmthRun struct {
	overrun, slack, coldRate float64
	perSecond                int
	burst                    int
	slots                    int
	probeTakes               time.Duration
	// transit is the longest time from a start to the arrival at the server.
	transit time.Duration
	// answers reports whether a probe sent at t is answered promptly.
	answers func(t time.Duration) bool
	// coldFrom and coldUntil bound the time in which the server is cold.
	coldFrom, coldUntil time.Duration
}

// run returns the arrivals at the server, in order, the number of probes, and the number of
// offered requests.
func (w warmthRun) run(seed uint64) (arrivals []time.Duration, probes, offered int) {
	const length = 12 * time.Second
	const work = 20 * time.Millisecond
	base := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	p := New(rng, 1)
	p.SetServers(base, []Server{{ID: "a", Slots: w.slots, ColdRate: w.coldRate, WarmBudget: WarmBudget(w.coldRate, w.overrun, w.slack)}})
	type end struct {
		at time.Duration
		id uint64
	}
	var running []end
	var probeAt, probeDone time.Duration
	var id uint64
	next := time.Duration(0)
	decided := func(now time.Duration, d Decision) {
		if d.Verdict != Granted {
			return
		}
		arrival := now
		if w.transit > 0 {
			arrival += time.Duration(rng.Int64N(int64(w.transit)))
		}
		arrivals = append(arrivals, arrival)
		running = append(running, end{arrival + work, d.ID})
		slices.SortStableFunc(running, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		if d.Probe {
			probes++
			probeAt, probeDone = now, now+w.probeTakes
		}
	}
	for now := time.Duration(0); now < length; now += time.Millisecond {
		at := base.Add(now)
		if probeDone > 0 && now >= probeDone {
			// The server answers halfway.
			seen := probeAt + w.probeTakes/2
			var coldFor time.Duration
			if seen >= w.coldFrom && seen < w.coldUntil {
				coldFor = w.coldUntil - seen
			}
			p.Probed(at, "a", coldFor, w.answers(probeAt))
			probeDone = 0
		}
		for len(running) > 0 && running[0].at <= now {
			p.Finish(at, running[0].id, Result{ServiceTime: work})
			running = running[1:]
		}
		if now >= next {
			for range w.burst {
				id++
				offered++
				decided(now, p.Offer(at, Request{ID: id, StartBy: at.Add(2 * time.Second), PromptBy: at.Add(time.Second), Lease: 5 * time.Second}))
			}
			mean := time.Second * time.Duration(w.burst) / time.Duration(w.perSecond)
			next = now + mean/2 + time.Duration(rng.Int64N(int64(mean)))
		}
		for _, d := range p.Tick(at) {
			decided(now, d)
		}
		if len(p.ProbesDue(at)) > 0 {
			probes++
			probeAt, probeDone = now, now+w.probeTakes
		}
	}
	slices.Sort(arrivals)
	return arrivals, probes, offered
}

func always(time.Duration) bool { return true }

// mostInASecond returns the largest number of starts within a second, of those from first
// to last.
func mostInASecond(starts []time.Duration, first, last time.Duration) int {
	most, i := 0, 0
	for j, t := range starts {
		for starts[i] <= t-time.Second || starts[i] < first && i < j {
			i++
		}
		if t >= first && t < last {
			most = max(most, j-i+1)
		}
	}
	return most
}

// Guards against a server that becomes cold, while its entry in the store says nothing of
// it, and goes on getting its full share.
func TestServerThatBecomesColdKeepsItsBound(t *testing.T) {
	for _, b := range []struct{ coldRate, overrun, slack float64 }{{3.8, 1.5, 5}, {5.2, 1.5, 8}, {1, 1.5, 2}} {
		for _, load := range []struct{ perSecond, burst, slots int }{{20, 1, 12}, {60, 1, 12}, {200, 1, 30}, {60, 20, 30}, {8, 1, 4}} {
			for seed := range uint64(20) {
				from := 3*time.Second + time.Duration(seed)*37*time.Millisecond
				w := warmthRun{
					overrun: b.overrun, slack: b.slack, coldRate: b.coldRate, perSecond: load.perSecond, burst: load.burst, slots: load.slots,
					probeTakes: 4 * time.Millisecond, answers: always, coldFrom: from, coldUntil: from + 4*time.Second,
				}
				starts, _, _ := w.run(seed)
				bound := b.coldRate*b.overrun + b.slack
				require.LessOrEqual(t, float64(mostInASecond(starts, w.coldFrom, w.coldUntil)), bound, "bounds %v, load %v, seed %d", b, load, seed)
			}
		}
	}
}

// Guards against counting requests as served by a warm server that reach it only after the
// probe which found it warm.
func TestRequestsOnTheirWayToAServerKeepItsBound(t *testing.T) {
	for _, load := range []struct{ perSecond, burst, slots int }{{20, 1, 12}, {60, 1, 12}, {60, 20, 30}} {
		for seed := range uint64(40) {
			from := 3*time.Second + time.Duration(seed)*37*time.Millisecond
			w := warmthRun{
				overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: load.perSecond, burst: load.burst, slots: load.slots,
				probeTakes: 4 * time.Millisecond, transit: 80 * time.Millisecond, answers: always, coldFrom: from, coldUntil: from + 4*time.Second,
			}
			arrivals, _, _ := w.run(seed)
			require.LessOrEqual(t, float64(mostInASecond(arrivals, w.coldFrom, w.coldUntil)), 3.8*1.5+5, "load %v, seed %d", load, seed)
		}
	}
}

// Guards against a full share for a cold server that this VM has not asked yet: in the first
// seconds of the VM, and after it became home of the server.
func TestServerThatWasNeverAskedKeepsItsBound(t *testing.T) {
	for _, burst := range []int{1, 20} {
		for _, takes := range []time.Duration{40 * time.Millisecond, 500 * time.Millisecond} {
			w := warmthRun{
				overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 60, burst: burst, slots: 30, probeTakes: takes,
				answers: always, coldFrom: 0, coldUntil: 4 * time.Second,
			}
			arrivals, _, _ := w.run(1)
			require.LessOrEqual(t, float64(mostInASecond(arrivals, w.coldFrom, w.coldUntil)), 3.8*1.5+5, "bursts of %d, a probe takes %v", burst, takes)
		}
	}
}

// Guards against dropping the answers of a server because they are late, and against a warm
// one that gets less than its share for that reason.
func TestLateAnswersOfAServerCount(t *testing.T) {
	w := warmthRun{
		overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 8, burst: 1, slots: 12, probeTakes: 400 * time.Millisecond,
		answers: always, coldFrom: time.Hour, coldUntil: time.Hour,
	}
	arrivals, _, offered := w.run(1)
	require.Len(t, arrivals, offered)
	for _, w.perSecond = range []int{20, 60} {
		w.coldFrom, w.coldUntil = 3*time.Second, 7*time.Second
		arrivals, _, _ = w.run(1)
		require.LessOrEqual(t, float64(mostInASecond(arrivals, w.coldFrom, w.coldUntil)), 3.8*1.5+5, "%d a second", w.perSecond)
	}
}

// Guards against a full share for a cold server because a part of its probes fail at once,
// such as those whose connection is reset.
func TestServerWhoseProbesFailInPartKeepsItsBound(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		from := 3*time.Second + time.Duration(seed)*137*time.Millisecond
		w := warmthRun{
			overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 20, burst: 1, slots: 12, probeTakes: 4 * time.Millisecond,
			answers: func(time.Duration) bool { return rng.IntN(2) == 0 }, coldFrom: from, coldUntil: from + 4*time.Second,
		}
		arrivals, _, _ := w.run(seed)
		require.LessOrEqual(t, float64(mostInASecond(arrivals, w.coldFrom, w.coldUntil)), 3.8*1.5+5, "seed %d", seed)
	}
}

// Guards against a server that is not asked for long because its health path did not answer
// for a moment.
func TestServerIsAskedAgainAfterItsHealthPathFailed(t *testing.T) {
	w := warmthRun{
		overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 20, burst: 1, slots: 12, probeTakes: 4 * time.Millisecond,
		answers:  func(at time.Duration) bool { return at < 2*time.Second || at > 3500*time.Millisecond },
		coldFrom: 5 * time.Second, coldUntil: 9 * time.Second,
	}
	arrivals, _, _ := w.run(1)
	require.LessOrEqual(t, float64(mostInASecond(arrivals, w.coldFrom, w.coldUntil)), 3.8*1.5+5)
}

// Guards against a server that gets its full share because its health path does not
// answer: it may be cold. Its probes are answered before and after.
func TestUnansweredProbeLimitsAServer(t *testing.T) {
	from := 3 * time.Second
	w := warmthRun{
		overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 60, burst: 1, slots: 12, probeTakes: 200 * time.Millisecond,
		answers:  func(at time.Duration) bool { return at < from || at > from+400*time.Millisecond },
		coldFrom: from, coldUntil: from + 4*time.Second,
	}
	starts, _, _ := w.run(1)
	require.LessOrEqual(t, float64(mostInASecond(starts, w.coldFrom, w.coldUntil)), 3.8*1.5+5)
}

// Guards against limiting servers whose health path never answers promptly, which may wait
// for a slot, and against asking them again and again.
func TestServerWithoutPromptHealthPathIsNotLimited(t *testing.T) {
	w := warmthRun{
		overrun: 1.5, slack: 5, coldRate: 3.8, perSecond: 60, burst: 1, slots: 12, probeTakes: 200 * time.Millisecond,
		answers: func(time.Duration) bool { return false }, coldFrom: time.Hour, coldUntil: time.Hour,
	}
	starts, probes, offered := w.run(1)
	require.Len(t, starts, offered)
	require.Equal(t, unansweredToPause, probes)
}

// Guards against a warm server that gets less than its share, and against a probe for each
// request.
func TestProbesOfAWarmServerAreFew(t *testing.T) {
	w := warmthRun{
		overrun: 1.5, slack: 8, coldRate: 5.2, perSecond: 20, burst: 1, slots: 6, probeTakes: 4 * time.Millisecond,
		answers: always, coldFrom: time.Hour, coldUntil: time.Hour,
	}
	starts, probes, offered := w.run(1)
	require.Len(t, starts, offered)
	require.LessOrEqual(t, probes, offered/4)
}

// Guards against probes of servers that get less than a cold server may get: in a large
// service most do.
func TestServerWithLittleLoadIsNotProbed(t *testing.T) {
	w := warmthRun{
		overrun: 1.5, slack: 8, coldRate: 5.2, perSecond: 4, burst: 1, slots: 6, probeTakes: 4 * time.Millisecond,
		answers: always, coldFrom: time.Hour, coldUntil: time.Hour,
	}
	starts, probes, offered := w.run(1)
	require.Len(t, starts, offered)
	require.Zero(t, probes)
}

// Guards against a home VM that asks for proofs although the service or the settings do not
// bound what a cold server gets.
func TestNoProbesWithoutABudget(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)), 1)
	now := time.Unix(1000, 0)
	p.SetServers(now, []Server{{ID: "a", Slots: 100, ColdRate: 1}})
	for id := range uint64(50) {
		d := p.Offer(now, Request{ID: id, StartBy: now.Add(time.Second), PromptBy: now.Add(time.Second), Lease: time.Second})
		require.Equal(t, Granted, d.Verdict)
		require.False(t, d.Probe)
	}
}

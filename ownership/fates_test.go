package ownership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/keyrange"
	"godwitlock.example/godwitlock/topo"
)

// senderFate is what becomes of a leader at time zero, with a grant just written.
type senderFate uint8

const (
	// killed: the system goes on sending what was written.
	killed senderFate = iota
	// poweredOff: what was written is lost.
	poweredOff
	// frozen, slow and cutOff: the system gives the grant up after maxOrderTime, and the
	// lease ends.
	frozen
	slow
	cutOff
)

// transit returns the latest time at which a grant that was written at zero arrives, if
// the link from the leader to the server is cut until cutEnd; false if it does not arrive.
// Bytes are sent again after 0.2 s, 0.4 s and so on.
func (f senderFate) transit(cutEnd time.Duration) (time.Duration, bool) {
	at := time.Duration(0)
	for wait := 200 * time.Millisecond; at < cutEnd; wait *= 2 {
		at += wait
	}
	switch f {
	case poweredOff:
		return 0, false
	case killed:
		return at, true
	}
	// A reset leaves what has left the sender.
	return min(at, maxOrderTime+maxTransit), at <= maxOrderTime
}

// leads returns when the next leader's lease begins. A process that starts again on the
// VM of a killed one takes the lease at once; others wait until it has run out.
func (f senderFate) leads(sameVM bool) time.Duration {
	if sameVM && f == killed {
		return 100 * time.Millisecond
	}
	return 3060 * time.Millisecond
}

// fateServer is a server whose clock runs at the given speed.
type fateServer struct {
	fence int64
	// heldFence is the fence of the hold, 0 if there is none.
	heldFence int64
	until     time.Duration
	speed     float64
}

func (s *fateServer) take(o Order, now time.Duration) Outcome {
	if o.Kind == Release {
		if o.Fence >= s.heldFence {
			s.heldFence = 0
		}
		return Done
	}
	if o.Fence < s.fence {
		return Rejected
	}
	s.fence, s.heldFence = o.Fence, o.Fence
	s.until = now + time.Duration(float64(o.HoldTime)/s.speed)
	return Done
}

func (s *fateServer) holds(now time.Duration) bool { return s.heldFence > 0 && now < s.until }

// Guards against a grant of a leader that is carried out later than the next leader
// assumes, for each fate of the leader, each cut between the leaders and the old holder,
// and each drift of the clocks. The next leader moves the keys to another server as soon
// as it may.
func TestNoGrantOutlivesTheWaitOfTheNextLeader(t *testing.T) {
	const step = 20 * time.Millisecond
	moved := 0
	for _, fate := range []senderFate{killed, poweredOff, frozen, slow, cutOff} {
		for _, sameVM := range []bool{true, false} {
			// The cut of the requests begins with the grant; that of the responses lasts as
			// long or longer.
			for _, cutEnd := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 6200 * time.Millisecond} {
				for _, answersCut := range []time.Duration{0, 4 * time.Second, 20 * time.Second} {
					for _, serverSpeed := range []float64{0.98, 1.02} {
						for _, leaderSpeed := range []float64{0.98, 1, 1.02} {
							for _, unusableOwner := range []bool{false, true} {
								name := fmt.Sprintf("fate %d, same VM %v, cut %v, answers %v, server %v, leader %v, unusable %v",
									fate, sameVM, cutEnd, answersCut, serverSpeed, leaderSpeed, unusableOwner)
								a := &fateServer{speed: serverSpeed, fence: 1, heldFence: 1, until: 5 * time.Second}
								b := &fateServer{speed: serverSpeed}
								late, arrives := fate.transit(cutEnd)
								grant := Order{Kind: Grant, Owner: ownerA, Last: keyrange.MaxKey, Fence: 1, HoldTime: HoldTime}
								from := fate.leads(sameVM)
								local := func(now time.Duration) time.Time { return start.Add(time.Duration(float64(now) * leaderSpeed)) }
								table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: ownerA})
								m := New(local(from), table, 1, 10*time.Second, false)
								m.Vacate(0, keyrange.MaxKey, "b")
								version := uint64(1)
								type result struct {
									at      time.Duration
									o       Order
									outcome Outcome
								}
								var results []result
								for now := time.Duration(0); now < 25*time.Second; now += step {
									if arrives && now >= late {
										arrives = false
										a.take(grant, now)
									}
									if now < from {
										continue
									}
									for len(results) > 0 && results[0].at <= now {
										m.Result(local(now), results[0].o, results[0].outcome, "h")
										results = results[1:]
									}
									for _, h := range m.Holds() {
										m.Assign(h, ownerB)
									}
									if _, _, ok := m.Pending(); ok {
										version++
										m.Stored(version)
									}
									for _, o := range m.Tick(local(now), math.MaxInt, func(o keyrange.Owner) Condition {
										if unusableOwner && o == ownerA {
											return Unusable
										}
										return Usable
									}) {
										server := map[topo.ServerID]*fateServer{"a": a, "b": b}[o.Owner.Server]
										r := result{now + step, o, Unanswered}
										if server == b || now >= cutEnd {
											outcome := server.take(o, now)
											if server == b || now >= answersCut {
												r.outcome = outcome
											}
										}
										results = append(results, r)
									}
									require.False(t, a.holds(now) && b.holds(now), "both hold the keys at %v: %s", now, name)
								}
								if b.holds(25*time.Second - step) {
									moved++
								}
							}
						}
					}
				}
			}
		}
	}
	require.Positive(t, moved)
}

// Guards against keys that stay without an owner for the time in which orders of a killed
// leader may be held up, although the leader before this one was not killed, and against
// forgetting the orders of a leader before that one.
func TestPredecessorThatLivesShortensTheWait(t *testing.T) {
	for name, tc := range map[string]struct {
		lives bool
		began time.Duration
		free  time.Duration
	}{
		"killed, as far as is known": {false, 0, 11600 * time.Millisecond},
		"lives and led for long":     {true, -20 * time.Second, 5400 * time.Millisecond},
		"lives and led for 2 s":      {true, -2 * time.Second, 9600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			table := (&keyrange.Table{Service: "s", NextFence: 1}).Assign(keyrange.Range{Last: keyrange.MaxKey, Owner: ownerA})
			m := New(start, table, 1, 10*time.Second, false)
			now := start
			for ; now.Sub(start) < 15*time.Second; now = now.Add(50 * time.Millisecond) {
				for _, o := range m.Tick(now, math.MaxInt, func(keyrange.Owner) Condition { return Unusable }) {
					m.Result(now, o, Unanswered, "")
				}
				if tc.lives && now.Sub(start) == time.Second {
					m.PredecessorLives(start.Add(tc.began))
				}
				if m.Holds()[0].Phase == Free {
					break
				}
			}
			require.InDelta(t, tc.free.Seconds(), now.Sub(start).Seconds(), 0.3)
		})
	}
}

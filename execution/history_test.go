package execution

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

// idWithKeyTime returns an ID whose key is a UUIDv7 with the timestamp at and
// is unique for each n.
func idWithKeyTime(at time.Time, n int) HistoryID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6], id[8] = 0x70, 0x80
	return HistoryID{Customer: "c1", Key: id.String()}
}

const (
	testSlice  = topo.SliceID(3)
	refuseStep = Refuse
)

func newTestHistory(limits Limits) *History {
	h := NewHistory(limits)
	h.AddSlice(testSlice, t0.Add(-time.Hour))
	return h
}

var ampleLimits = Limits{Entries: 1000, Bytes: 1 << 20, Waiters: 2}

// Guards against a repeat that runs although the request is running or has
// run, and against a repeat that gets the wrong decision for the request's
// state.
func TestRepeats(t *testing.T) {
	digest, other := DigestOf("POST", "/a", nil, 0), DigestOf("POST", "/b", nil, 0)
	response := &Recorded{Status: 200, Body: []byte("done")}
	refuse := func(k errkind.Kind) Decision { return Decision{Step: refuseStep, Kind: k} }
	tests := []struct {
		name     string
		finish   func(h *History, id HistoryID) (Decision, []Waiter)
		decision Decision
		repeat   Decision
	}{
		{"answered", func(h *History, id HistoryID) (Decision, []Waiter) { return h.Ran(id, response) },
			Decision{Step: Replay, Response: response}, Decision{Step: Replay, Response: response}},
		{"too large to keep", func(h *History, id HistoryID) (Decision, []Waiter) {
			return h.Ran(id, &Recorded{Body: make([]byte, MaxRecordedBytes+1)})
		}, refuse(errkind.AlreadyRun), refuse(errkind.AlreadyRun)},
		{"unknown", func(h *History, id HistoryID) (Decision, []Waiter) { return h.Unknown(id) },
			refuse(errkind.OutcomeUnknown), refuse(errkind.OutcomeUnknown)},
		{"not run", func(h *History, id HistoryID) (Decision, []Waiter) { return h.NotRun(id, errkind.QueueFull) },
			refuse(errkind.QueueFull), Decision{Step: Run}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, id := newTestHistory(ampleLimits), idWithKeyTime(t0, 1)
			require.Equal(t, Run, h.Begin(t0, testSlice, id, digest, 1).Step)
			require.Equal(t, Wait, h.Begin(t0, testSlice, id, digest, 2).Step)
			require.Equal(t, refuse(errkind.IdempotencyKeyReused), h.Begin(t0, testSlice, id, other, 3))
			require.Equal(t, Wait, h.Begin(t0, testSlice, id, digest, 4).Step)
			require.Equal(t, refuse(errkind.OutcomeUnknown), h.Begin(t0, testSlice, id, digest, 5), "too many waiters")
			h.RemoveWaiter(id, 2)
			decision, waiters := tt.finish(h, id)
			require.Equal(t, tt.decision, decision)
			require.Equal(t, []Waiter{4}, waiters)
			require.Equal(t, tt.repeat, h.Begin(t0, testSlice, id, digest, 6))
		})
	}
}

// Guards against running a request whose key has a timestamp outside the
// accepted range or from before the slice's history was complete.
func TestKeyAge(t *testing.T) {
	h := newTestHistory(ampleLimits)
	h.AddSlice(4, t0.Add(-MaxKeySkew))
	tests := []struct {
		name    string
		keyTime time.Time
		slice   topo.SliceID
		want    errkind.Kind
	}{
		{"older than the history", t0.Add(-HistoryTTL - time.Millisecond), testSlice, errkind.HistoryLost},
		{"oldest accepted", t0.Add(-HistoryTTL), testSlice, errkind.Unset},
		{"newest accepted", t0.Add(MaxKeyAhead), testSlice, errkind.Unset},
		{"in the future", t0.Add(MaxKeyAhead + time.Millisecond), testSlice, errkind.IdempotencyKeyInvalid},
		{"before the history was complete", t0, 4, errkind.HistoryLost},
		{"since the history is complete", t0.Add(time.Millisecond), 4, errkind.Unset},
		{"slice of another server", t0, 5, errkind.HistoryLost},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, h.Begin(t0, tt.slice, idWithKeyTime(tt.keyTime, i), Digest{}, 0).Kind)
		})
	}
	require.Equal(t, errkind.IdempotencyKeyInvalid,
		h.Begin(t0, testSlice, HistoryID{"c1", uuid.NewString()}, Digest{}, 0).Kind)
}

// Guards against unbounded memory, and against eviction of an entry whose
// request could then run twice.
func TestFull(t *testing.T) {
	h := newTestHistory(Limits{Entries: 2, Bytes: 2 * entryOverheadBytes})
	ids := []HistoryID{idWithKeyTime(t0, 0), idWithKeyTime(t0, 1), idWithKeyTime(t0, 2)}
	for _, id := range ids[:2] {
		require.Equal(t, Run, h.Begin(t0, testSlice, id, Digest{}, 0).Step)
		h.Ran(id, &Recorded{Body: make([]byte, entryOverheadBytes/2)})
	}
	require.Equal(t, errkind.QueueFull, h.Begin(t0, testSlice, ids[2], Digest{}, 0).Kind)
	require.Equal(t, Replay, h.Begin(t0, testSlice, ids[0], Digest{}, 0).Step)
	require.Equal(t, errkind.AlreadyRun, h.Begin(t0, testSlice, ids[1], Digest{}, 0).Kind)

	later := t0.Add(retention + 2*time.Second)
	require.Equal(t, Run, h.Begin(later, testSlice, idWithKeyTime(later, 3), Digest{}, 0).Step)
	require.Equal(t, 1, h.Len())
	require.Zero(t, h.Bytes())
	require.Equal(t, errkind.HistoryLost, h.Begin(t0, testSlice, ids[0], Digest{}, 0).Kind,
		"a clock that steps back must not make an expired key acceptable")
}

// Guards against a second run after a crash of the home VM: the key's timestamp
// was at the limit that the crashed VM accepts, and the clock of its successor
// is behind.
func TestSuccessorClockBehind(t *testing.T) {
	id := idWithKeyTime(t0.Add(MaxKeyAhead), 1)
	require.Equal(t, Run, newTestHistory(ampleLimits).Begin(t0, testSlice, id, Digest{}, 0).Step)
	successor := NewHistory(ampleLimits)
	successor.AddSlice(testSlice, t0.Add(-MaxVMSkew))
	require.Equal(t, errkind.HistoryLost, successor.Begin(t0, testSlice, id, Digest{}, 0).Kind)
}

// historyProperty guards against two runs of one key under any order of
// requests, responses, planned moves, crashes of the home VM and clock
// advances. Two VMs, whose clocks differ by a constant, alternate as home VM.
func historyProperty(t *rapid.T) {
	homes := [2]*History{newTestHistory(ampleLimits), NewHistory(ampleLimits)}
	skew := [2]time.Duration{0, rapid.SampledFrom([]time.Duration{0, MaxVMSkew, -MaxVMSkew}).Draw(t, "skew")}
	home, now := 0, t0
	var ids []HistoryID
	dispatched, running := map[HistoryID]int{}, map[HistoryID]bool{}
	for range rapid.IntRange(1, 80).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 900, 7_000, 400_000}).Draw(t, "ms")) * time.Millisecond)
		at := now.Add(skew[home])
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0, 1:
			ids = append(ids, idWithKeyTime(now.Add(time.Duration(rapid.IntRange(-6, 6).Draw(t, "key_time_offset_s"))*time.Second), len(ids)))
		case 2:
			homes[home] = NewHistory(ampleLimits)
			if rapid.Bool().Draw(t, "other") {
				home = 1 - home
			}
			homes[home].AddSlice(testSlice, now.Add(skew[home]))
			clear(running)
		case 3:
			moved, ok := homes[home].Export([]topo.SliceID{testSlice})
			require.Equal(t, len(running) == 0, ok)
			if ok {
				home = 1 - home
				homes[home].Import(moved)
			}
		default:
			if len(ids) == 0 {
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if running[id] && rapid.Bool().Draw(t, "finish") {
				delete(running, id)
				finishOne(t, homes[home], id, dispatched)
				continue
			}
			d := homes[home].Begin(at, testSlice, id, Digest{}, 0)
			if d.Step == Run {
				require.False(t, running[id])
				dispatched[id]++
				running[id] = true
			}
			require.LessOrEqual(t, dispatched[id], 1, "two runs of %v", id)
		}
	}
}

// finishOne finishes a running request with a random outcome. A request that
// did not run may be dispatched again.
func finishOne(t *rapid.T, h *History, id HistoryID, dispatched map[HistoryID]int) {
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		h.Ran(id, &Recorded{Body: []byte("x")})
	case 1:
		h.Unknown(id)
	case 2:
		h.NotRun(id, errkind.QueueFull)
		dispatched[id]--
	}
}

func TestHistory(t *testing.T) { rapid.Check(t, historyProperty) }

func FuzzHistory(f *testing.F) { f.Fuzz(rapid.MakeFuzz(historyProperty)) }

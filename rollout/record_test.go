package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func record() *Record {
	return &Record{
		Service: "s", Target: "v2", Number: 2, DurationMs: 40_000, StartedMs: 1000, ElapsedMs: 9000, State: Running, Step: 2,
		Reserved: 80, Arrivals: 900, Lost: 1, Era: 3, Proven: true, Judged: []Judgement{{Target: "v1", State: Complete}},
	}
}

// Guards against a record that a new leader reads differently than it was written, and
// against one that no leader writes.
func TestRecordEncoding(t *testing.T) {
	data, err := record().Encode()
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, record(), got)
	for name, change := range map[string]func(*Record){
		"no service": func(r *Record) { r.Service = "" },
		"no target":  func(r *Record) { r.Target = "" },
		"state":      func(r *Record) { r.State = "done" },
		"number":     func(r *Record) { r.Number = 0 },
		"duration":   func(r *Record) { r.DurationMs = 0 },
		"reserved":   func(r *Record) { r.Reserved = -1 },
		"step":       func(r *Record) { r.Step = -1 },
	} {
		r := record()
		change(r)
		_, err := r.Encode()
		require.Error(t, err, name)
	}
	for _, text := range []string{"", "null", "[]", `{"service":"s"}`, `{"step":"1"}`} {
		_, err := Decode([]byte(text))
		require.Error(t, err, text)
	}
}

// Guards against a merge by which a reverted roll-out goes on, a share grows or used
// rights are forgotten, whichever of the two records is read first.
func TestMerge(t *testing.T) {
	merged := func(change func(a, b *Record)) *Record {
		a, b := record(), record()
		change(a, b)
		out := Merge(a, b)
		a2, b2 := record(), record()
		change(a2, b2)
		require.Equal(t, out, Merge(b2, a2), "order of the records")
		return out
	}
	require.Equal(t, record(), Merge(nil, record()))
	require.Equal(t, record(), Merge(record(), nil))
	r := merged(func(a, b *Record) { a.State, b.State, b.Reason = Complete, Reverted, "bad" })
	require.Equal(t, Reverted, r.State)
	require.Equal(t, "bad", r.Reason)
	require.Equal(t, Complete, merged(func(a, _ *Record) { a.State = Complete }).State)
	r = merged(func(a, b *Record) {
		a.Step, a.Reserved, a.ElapsedMs, a.Proven = 1, 100, 5000, false
		b.Arrivals, b.Lost, b.Era, b.StartedMs = 2000, 9, 4, 900
	})
	require.Equal(t, 1, r.Step)
	require.EqualValues(t, 100, r.Reserved)
	require.EqualValues(t, 9000, r.ElapsedMs)
	require.EqualValues(t, 2000, r.Arrivals)
	require.EqualValues(t, 9, r.Lost)
	require.EqualValues(t, 4, r.Era)
	require.EqualValues(t, 900, r.StartedMs)
	require.False(t, r.Proven)
	// A later order counts, and the end of the earlier one is kept.
	r = merged(func(a, b *Record) {
		a.State = Reverted
		b.Number, b.Target, b.Judged = 3, "v3", nil
	})
	require.Equal(t, "v3", r.Target)
	require.Equal(t, Running, r.State)
	require.Equal(t, []string{"v2"}, r.Barred())
}

// Guards against a bad version that is exposed again by a further order.
func TestRevertedVersionIsNotRolledOutAgain(t *testing.T) {
	last := record()
	last.State, last.Reason = Reverted, "bad: failures"
	r := Begin(Order{Service: "s", Target: "v3", Duration: time.Minute}, last, 0, 0)
	require.Equal(t, Running, r.State)
	r.State = Complete
	again := Begin(Order{Service: "s", Target: "v2", Duration: time.Minute}, r, 0, 0)
	require.Equal(t, Reverted, again.State)
	require.EqualValues(t, 4, again.Number)
	require.Equal(t, Running, Begin(Order{Service: "s", Target: "v4", Duration: time.Minute}, r, 0, 0).State)
}

// Guards against rights that are handed out again because the store lost the record of
// them.
func TestRestoreCountsTheBudgetAsUsed(t *testing.T) {
	r := record()
	require.Equal(t, r, r.Restore(playBounds, 3))
	restored := r.Restore(playBounds, 4)
	require.Equal(t, playBounds.Budget(restored.Arrivals), restored.Reserved+restored.Lost)
	require.Zero(t, restored.Step)
}

// Guards against an order that is followed although it is wrong.
func TestOrderValidation(t *testing.T) {
	good := Order{Service: "s", Target: "v2", Duration: time.Minute}
	require.NoError(t, good.Validate("s"))
	require.Error(t, good.Validate("other"))
	for _, o := range []Order{
		{Service: "s", Duration: time.Minute}, {Service: "s", Target: "v2"}, {Service: "s", Target: "v2", Duration: -1},
		{Service: "s", Target: "v2", Duration: MaxDuration + 1},
	} {
		require.Error(t, o.Validate("s"), "%+v", o)
	}
}

package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const heartbeat = time.Second

var start = time.Unix(1000, 0)

// at returns the time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// record returns a Record of calls that were answered, or failed, at the given milliseconds.
func record(answers, failures []int) *Record {
	r := NewRecord(heartbeat)
	for _, ms := range failures {
		r.Failed(at(ms))
	}
	for _, ms := range answers {
		r.Answered(at(ms))
	}
	return r
}

// paused returns r with a pause of the process between the given milliseconds.
func paused(r *Record, from, to int) *Record {
	r.Paused(at(from), at(to))
	return r
}

// every returns the milliseconds from begin to end in equal steps.
func every(step, begin, end int) (out []int) {
	for ms := begin; ms <= end; ms += step {
		out = append(out, ms)
	}
	return out
}

func join(parts ...[]int) (out []int) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// Guards against taking calls of one VM that fail for an outage of the store: entries of
// servers that left would stay in use. Cuts of the VM are short, long, and come again and
// again; the other VMs are asked while calls fail.
func TestCallsThatFailOnOneVMAreNoOutage(t *testing.T) {
	for name, r := range map[string]*Record{
		"short cut":                   record([]int{0, 780, 830, 1600}, []int{800, 1200}),
		"short cut, nobody was asked": record([]int{0, 950}, []int{400, 900}),
		"long cut":                    record(join([]int{0, 750}, every(450, 1500, 6000), []int{6100}), every(400, 800, 6000)),
		"cuts again and again":        record(join(every(1600, 0, 9600), every(1600, 750, 9600), every(1600, 1200, 9600)), every(1600, 800, 9600)),
		"slow store":                  record(every(1200, 0, 9000), nil),
		"silent cut, asked late":      record([]int{0, 1300, 1800, 2200}, []int{1400, 2100}),
		"process that stood still while others read": record(join([]int{0, 5000}, every(700, 1500, 5000)), []int{4900}),
		"process that stood still":                   paused(record([]int{0, 1600}, []int{1590}), 700, 1580),
		"new process":                                record([]int{5000}, []int{100, 4000}),
	} {
		require.Zero(t, r.End(), name)
	}
}

// Guards against dropping servers whose entries expired in an outage of the store.
func TestOutageOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		r   *Record
		end int
	}{
		"outage":                      {record([]int{0, 700, 3000, 3700}, every(400, 750, 2900)), 3000},
		"outage of one heartbeat":     {record([]int{0, 1400}, []int{400, 1300}), 1400},
		"silent outage":               {record([]int{0, 2100, 2500}, []int{1400}), 2100},
		"another VM saw its end":      {record([]int{0, 2700, 3000}, []int{300, 2600}), 2700},
		"outages again and again":     {record(join(every(1300, 0, 9100), every(1300, 100, 9100)), every(1300, 700, 9100)), 9100},
		"leader told of its failures": {record([]int{0, 5000}, []int{1400}), 5000},
		"very long outage":            {record([]int{0, 90_000}, every(400, 400, 89_900)), 90_000},
		"outage with a short pause":   {paused(record([]int{0, 3000}, every(400, 400, 2900)), 1000, 1500), 3000},
	} {
		require.Equal(t, at(c.end), c.r.End(), name)
	}
}

// Guards against an outage that is believed in although another VM tells later that the
// store answered it meanwhile.
func TestLaterAnswerShowsThatThereWasNoOutage(t *testing.T) {
	r := record([]int{0, 1600}, []int{500, 1400})
	require.Equal(t, at(1600), r.End())
	r.Answered(at(800))
	require.Zero(t, r.End())
}

// Guards against a Record that grows, and against one that forgets when an outage began.
func TestRecordIsBounded(t *testing.T) {
	r := NewRecord(heartbeat)
	for ms := range 100_000 {
		r.Answered(at(ms))
		r.Failed(at(ms))
		if ms%300 == 0 {
			r.Paused(at(ms), at(ms+200))
		}
	}
	require.Less(t, len(r.pauses), 100)
	require.Less(t, len(r.answers), 300)
	require.Less(t, len(r.failures), 300)
	require.Len(t, r.AnswersSince(at(99_900)), 1)
	require.False(t, r.Failing(at(100_000)))
	require.True(t, r.Failing(at(100_900)))
	r.Failed(at(100_100))
	require.True(t, r.Failing(at(100_200)))
}

package hotkey

import (
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/keyrange"
)

var start = time.Unix(1000, 0)

// play sends requests of a VM to a detector: rate per second for 36,000 keys, and from the
// fifth second on also hot per second for 60 neighbouring keys. It returns how often the
// detector reported hot keys before and after, and when it did so first after.
func play(seed uint64, rate, hot float64, seconds int) (before, after int, first time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 4))
	var d Detector
	begin := start.Add(5 * time.Second)
	for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); {
		total := rate
		if !now.Before(begin) {
			total += hot
		}
		now = now.Add(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		key := keyrange.Key(17000 + rng.IntN(36000))
		if rng.Float64()*total >= rate {
			key = keyrange.Key(20000 + rng.IntN(60))
		}
		switch got := d.Record(now, key); {
		case got && now.Before(begin):
			before++
		case got:
			if after++; after == 1 {
				first = now.Sub(begin)
			}
		}
	}
	return before, after, first
}

// Guards against a VM that does not notice a hot set, or, if it sees 22 requests per second
// of it, notices it on average no earlier than its next regular report to the leader.
func TestHotSetIsNoticed(t *testing.T) {
	for _, c := range []struct {
		rate, hot float64
		within    time.Duration
	}{{16, 7, time.Second}, {50, 22, 320 * time.Millisecond}} {
		const runs = 20
		mean, times := time.Duration(0), 0
		for seed := range uint64(runs) {
			_, after, first := play(seed, c.rate, c.hot, 9)
			require.Positive(t, after, "seed %d", seed)
			mean, times = mean+first/runs, times+after
		}
		t.Logf("%.0f/s and %.0f/s: noticed after %v on average, %d times in 4 s", c.rate, c.hot, mean, times/runs)
		require.Less(t, mean, c.within)
	}
}

// Guards against early reports in calm, which cost the leader work.
func TestCalmIsNoNews(t *testing.T) {
	for _, rate := range []float64{1, 16, 50} {
		before, after, _ := play(1, rate, 0, 60)
		t.Logf("%.0f/s: %d reports in a minute", rate, before+after)
		require.Less(t, before+after, 60)
	}
}

// Guards against early reports for as long as a key is hot: the leader knows it after some
// seconds.
func TestLastingHeatIsNoNews(t *testing.T) {
	var d Detector
	last := time.Duration(0)
	for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
		if d.Record(start.Add(at), 7) {
			last = at
		}
	}
	require.Greater(t, last, time.Second)
	require.Less(t, last, 8*time.Second)
}

// Guards against a detector whose memory grows with the keys that are requested.
func TestDetectorIsSmall(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(Detector{}), uintptr(32<<10))
}

func BenchmarkRecord(b *testing.B) {
	var d Detector
	for i := range b.N {
		d.Record(start.Add(time.Duration(i)*time.Millisecond), keyrange.Key(i*7919))
	}
}

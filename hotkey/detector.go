// Package hotkey detects, at one VM, that neighbouring keys of a service become hot. It
// reads no clock.
package hotkey

import (
	"math"
	"time"

	"godwitlock.example/godwitlock/keyrange"
)

const (
	// stretchBits is the binary logarithm of the number of keys in a stretch. Busy keys
	// lie close to one another, and a VM sees too few requests for one key to tell that
	// it has become hot: of 500 requests per second for 60 keys, one of 69 VMs gets 0.1
	// per second and key, but 7 per second in one or two stretches.
	stretchBits = 6
	stretches   = keyrange.KeyCount >> stretchBits
	// recentTime and usualTime are the time constants of the two averages of a stretch.
	recentTime, usualTime = 500 * time.Millisecond, 10 * time.Second
	// minRecent is the number of recent requests from which on a stretch may be hot: two
	// within a tenth of a second, or three within half a second. At a VM with 16 requests
	// per second for 36,000 keys this happens by chance about once in 20 s.
	minRecent = 1.8
	// minRise is the factor by which the recent rate of a stretch must exceed its usual
	// one. Keys that have been as hot for 4 s are no longer news.
	minRise = 3.0
)

// stretch holds exponentially decaying numbers of requests for neighbouring keys.
type stretch struct {
	recent, usual float32
	// at is the time of the last request, since the first one that the detector saw.
	at time.Duration
}

// Detector detects stretches of keys that become hot. Its size is fixed, since there are
// only 1,024 stretches. The zero value is ready for use; it is not safe for concurrent use.
type Detector struct {
	start     time.Time
	stretches [stretches]stretch
}

// Record records a request for a key and reports whether the keys around it have become
// hot lately.
func (d *Detector) Record(now time.Time, key keyrange.Key) bool {
	if d.start.IsZero() {
		d.start = now
	}
	s, at := &d.stretches[key>>stretchBits], now.Sub(d.start)
	s.recent = 1 + s.recent*decay(at-s.at, recentTime)
	s.usual = 1 + s.usual*decay(at-s.at, usualTime)
	s.at = at
	usual := s.usual * float32(recentTime.Seconds()/usualTime.Seconds())
	return s.recent >= minRecent && s.recent > minRise*usual
}

func decay(d, timeConstant time.Duration) float32 {
	return float32(math.Exp(-max(0, d.Seconds()) / timeConstant.Seconds()))
}

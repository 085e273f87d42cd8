package memstore

import (
	"context"
	"time"

	"godwitlock.example/godwitlock/store"
)

// Faults are the faults that one access point injects. The zero value means no
// faults.
type Faults struct {
	// Down makes every call and every waiting watch fail with ErrUnavailable
	// and without effect.
	Down bool `json:"down"`
	// Slow delays every call. Its JSON form is in nanoseconds.
	Slow time.Duration `json:"slow_ns"`
	// LoseResponses is the number of further writes that take effect but fail
	// with ErrUnavailable.
	LoseResponses int `json:"lose_responses"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls, with a burst
	// of one second's calls. A watch counts as one read, however long it
	// waits. Zero means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

func (f Faults) readRate() int  { return f.ReadsPerSecond }
func (f Faults) writeRate() int { return f.WritesPerSecond }

// bucket is a token bucket that holds at most one second's worth of tokens.
type bucket struct {
	tokens     float64
	lastRefill time.Time
}

func (b *bucket) take(now time.Time, rate int) bool {
	depth := float64(rate)
	if b.lastRefill.IsZero() {
		b.tokens = depth
	} else {
		b.tokens = min(depth, b.tokens+now.Sub(b.lastRefill).Seconds()*depth)
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetFaults replaces the faults, wakes waiting watches and refills the token
// buckets of the rate limits.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads, s.writes = bucket{}, bucket{}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// CurrentFaults returns the faults. LoseResponses is the number of responses
// that remain to be lost.
func (s *Store) CurrentFaults() Faults {
	f, _ := s.faultState()
	return f
}

func (s *Store) faultState() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// injectFaults applies the faults that occur before a call takes effect.
func (s *Store) injectFaults(ctx context.Context, b *bucket, rate func(Faults) int) error {
	f, _ := s.faultState()
	if err := sleep(ctx, f.Slow); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return store.ErrUnavailable
	}
	if r := rate(s.faults); r > 0 && !b.take(time.Now(), r) {
		return store.ErrThrottled
	}
	return nil
}

func (s *Store) loseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses <= 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

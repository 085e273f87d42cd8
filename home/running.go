package home

import (
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// runningCount implements grants.RequestCounter. It is not safe for concurrent
// use; callers hold a lock.
type runningCount struct {
	bySlice map[topo.SliceID]int
	total   int
}

func (c *runningCount) add(id topo.SliceID, n int) {
	c.total += n
	if c.bySlice[id] += n; c.bySlice[id] == 0 {
		delete(c.bySlice, id)
	}
}

// Running returns the number of running requests for a slice.
func (c *runningCount) Running(id topo.SliceID) int { return c.bySlice[id] }

// Total returns the number of running requests for all slices.
func (c *runningCount) Total() int { return c.total }

const (
	// maxTrackedKeys bounds the number of keys counted per server in one load
	// window.
	maxTrackedKeys = 512
	// maxReportedKeys bounds the number of hot keys in one report.
	maxReportedKeys = 4
	// hotKeyShare is the minimum share of a server's requests for a key to be
	// reported as hot.
	hotKeyShare = 0.05
	// minHotKeyRate is the rate in requests/s below which no key is hot. At low
	// load, a few requests would otherwise reach hotKeyShare and cause keys to
	// be moved repeatedly.
	minHotKeyRate = 10
	// loadWindow is the interval over which rates are computed. It spans
	// several heartbeats, so that a few requests do not look like a hot key.
	loadWindow = 2 * time.Second
)

// loadCounter counts requests and frequent keys over loadWindow with the
// Misra-Gries summary, whose error is at most requests / maxTrackedKeys.
type loadCounter struct {
	since    time.Time
	requests int
	keys     map[string]int
	rate     float64
	hot      []HotKey
}

func (l *loadCounter) start(now time.Time) {
	l.since, l.requests, l.keys = now, 0, make(map[string]int)
}

func (l *loadCounter) count(key string) {
	l.requests++
	if key == "" {
		return
	}
	if _, ok := l.keys[key]; ok || len(l.keys) < maxTrackedKeys {
		l.keys[key]++
		return
	}
	for k := range l.keys {
		if l.keys[k]--; l.keys[k] == 0 {
			delete(l.keys, k)
		}
	}
}

// lastWindow returns the request rate and the hot keys of the last complete
// window. It starts a new window if the current one has ended at now.
func (l *loadCounter) lastWindow(now time.Time) (float64, []HotKey) {
	if elapsed := now.Sub(l.since); elapsed >= loadWindow {
		l.rate = float64(l.requests) / elapsed.Seconds()
		l.hot = l.hotKeys(elapsed)
		l.start(now)
	}
	return l.rate, l.hot
}

func (l *loadCounter) hotKeys(elapsed time.Duration) []HotKey {
	var hot []HotKey
	for key, n := range l.keys {
		if float64(n) >= hotKeyShare*float64(l.requests) && float64(n) >= minHotKeyRate*elapsed.Seconds() {
			hot = append(hot, HotKey{Key: key, Rate: float64(n) / elapsed.Seconds()})
		}
	}
	slices.SortFunc(hot, func(a, b HotKey) int {
		if a.Rate != b.Rate {
			if a.Rate > b.Rate {
				return -1
			}
			return 1
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return hot[:min(len(hot), maxReportedKeys)]
}

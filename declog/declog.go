// Package declog writes the decision log: one structured line for each decision
// that affects a request or changes the state that the process acts on. Logging
// never blocks a request. The volume is bounded: each event has a budget of lines
// per second, and lines beyond it are only counted and reported in a summary
// line.
package declog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/ring"
)

const (
	// linesPerSecond is the budget per event name: the first lines of each
	// second are written. Budgets are separate, so that a frequent event cannot
	// suppress a rare one.
	linesPerSecond = 8
	// maxQueuedLines bounds the lines that are queued for writing. When the
	// queue is full, the oldest lines are dropped.
	maxQueuedLines = 1024
)

// Log is a decision log. It is safe for concurrent use.
type Log struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	root  zerolog.Logger

	mu         sync.Mutex
	second     int64
	written    map[string]int
	suppressed map[string]int
}

// New returns a log that writes to out while Run runs. The vm argument becomes
// the "vm" field of each line.
func New(out io.Writer, vm string) *Log {
	l := &Log{
		out: out, lines: ring.New[[]byte](maxQueuedLines, ring.DropOldest),
		written: make(map[string]int), suppressed: make(map[string]int),
	}
	l.root = zerolog.New(ringWriter{l}).With().Str("vm", vm).Logger()
	return l
}

// ringWriter queues each line for Run.
type ringWriter struct{ l *Log }

// Write implements io.Writer. It never blocks and always succeeds.
func (w ringWriter) Write(p []byte) (int, error) {
	w.l.lines.Put(context.Background(), append([]byte(nil), p...))
	return len(p), nil
}

// Event starts a log line, or returns nil if the event's budget for the current
// second is used up. Adding fields to a nil event or sending it has no effect.
func (l *Log) Event(name string) *zerolog.Event {
	if !l.admit(name) {
		return nil
	}
	return l.root.Log().Int64("t", time.Now().UnixMilli()).Str("event", name)
}

func (l *Log) admit(name string) bool {
	second := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		clear(l.written)
	}
	if l.written[name] >= linesPerSecond {
		l.suppressed[name]++
		return false
	}
	l.written[name]++
	return true
}

// Run writes queued lines until ctx ends, then flushes the remaining ones. It
// writes a summary of suppressed lines every 5 s.
func (l *Log) Run(ctx context.Context) error {
	t := time.NewTicker(5 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return ctx.Err()
		case line := <-l.lines.C():
			l.write(line)
		case <-t.C:
			l.summarise()
		}
	}
}

// Flush writes the summary of suppressed lines and all queued lines.
func (l *Log) Flush() {
	l.summarise()
	for {
		select {
		case line := <-l.lines.C():
			l.write(line)
		default:
			return
		}
	}
}

// write ignores errors, because a failure of the log output cannot be reported
// anywhere else.
func (l *Log) write(line []byte) { _, _ = l.out.Write(line) }

// summarise logs the number of suppressed lines per event since the last summary,
// and the total number of lines dropped from the queue.
func (l *Log) summarise() {
	l.mu.Lock()
	counts := l.suppressed
	l.suppressed = make(map[string]int)
	l.mu.Unlock()
	for name, n := range counts {
		l.root.Log().Int64("t", time.Now().UnixMilli()).Str("event", "suppressed").
			Str("of", name).Int("lines", n).Send()
	}
	if n := l.lines.Dropped(); n > 0 {
		l.root.Log().Int64("t", time.Now().UnixMilli()).Str("event", "log_dropped").Uint64("lines", n).Send()
	}
}

// Package declog writes the decision log: one structured line for each decision
// that touches a request or changes what the process believes. Writing never
// blocks a request, and the volume is bounded: each event has a budget of lines
// a second, beyond which lines are counted and summed up.
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
	// linesPerSecond is the budget of one event. The first lines of a second
	// are written, so a rare kind is never hidden by a frequent one.
	linesPerSecond = 8
	// maxQueuedLines bounds the lines that wait to be written.
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

// New returns a log that Run writes to out. Vm names the process in each line.
func New(out io.Writer, vm string) *Log {
	l := &Log{
		out: out, lines: ring.New[[]byte](maxQueuedLines, ring.DropOldest),
		written: make(map[string]int), suppressed: make(map[string]int),
	}
	l.root = zerolog.New(ringWriter{l}).With().Str("vm", vm).Logger()
	return l
}

// ringWriter puts lines into the ring.
type ringWriter struct{ l *Log }

// Write implements io.Writer. It never blocks.
func (w ringWriter) Write(p []byte) (int, error) {
	w.l.lines.Put(context.Background(), append([]byte(nil), p...))
	return len(p), nil
}

// Event starts a line, or returns nil when the event's budget is used up. A nil
// event takes fields and Send.
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

// Run writes lines until ctx ends, and then those that are left.
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

// Flush writes the lines that wait.
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

// write ignores errors: there is nowhere else to report that the standard
// output is gone.
func (l *Log) write(line []byte) { _, _ = l.out.Write(line) }

// summarise writes how many lines of each event were suppressed.
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

// Package audit keeps the trail of operators' attempts to change an
// environment: who, when, what, from which version to which, with what result.
//
// Each attempt is one object of the store. It is written before the attempt
// with the result unknown and overwritten afterwards, so a process that dies in
// between leaves an entry that says so.
package audit

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/store"
)

const (
	// BufferSize bounds the entries that wait while the store is down.
	BufferSize = 1024
	// DefaultMaxEntries is the number of entries that Prune leaves: 4.5 days at
	// 4,400 changes a day, about 10 MB in the store.
	DefaultMaxEntries = 20_000
	// maxTextBytes bounds the free texts of an entry, in bytes, so that an entry
	// stays far below the limit of a value.
	maxTextBytes = 2 << 10
	// pruneBatchSize bounds the deletes of one Prune, so that it takes a small
	// part of the store's several hundred writes a second.
	pruneBatchSize = 100
	idTimeLayout   = "20060102T150405.000000000Z"
)

// Result is the outcome of an attempt.
type Result string

// The results.
const (
	// Done: the change took effect.
	Done Result = "done"
	// Refused: nothing was changed.
	Refused Result = "refused"
	// Lost: nothing was changed because another writer was faster.
	Lost Result = "lost"
	// Unknown: the change may or may not have taken effect.
	Unknown Result = "unknown"
)

// DroppedAction is the action of entries that count dropped entries.
const DroppedAction = "audit-dropped"

// Entry is one attempt.
type Entry struct {
	// ID is unique; it orders entries by time.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	Who  string    `json:"who"`
	// Action names what was attempted, such as apply.
	Action string `json:"action"`
	// Target is the object, such as customer/c1.
	Target string `json:"target"`
	// From and To are the versions of the object before and after; 0 means
	// that it did not exist or is not known.
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Result Result `json:"result"`
	// Forced says that a check was overridden.
	Forced bool `json:"forced,omitempty"`
	// Reason is the operator's.
	Reason string `json:"reason,omitempty"`
	// Detail is the error of an attempt that was not done, or what it wrote.
	Detail string `json:"detail,omitempty"`

	// version is that of the stored object as far as this process knows.
	version uint64
	// writes counts the write attempts, so that each has its own writer id.
	writes int
}

// Log writes and reads the entries of one environment. It is safe for
// concurrent use.
type Log struct {
	store  store.Store
	env    string
	random io.Reader

	mu       sync.Mutex
	buffer   []*Entry
	dropped  uint64 // since the start
	reported uint64 // of dropped, covered by a written entry
}

// New returns a log. Random is a source of unique ids.
func New(st store.Store, env string, random io.Reader) *Log {
	return &Log{store: st, env: env, random: random}
}

// NewEntry returns an entry with a unique id and the result unknown.
func (l *Log) NewEntry(now time.Time, who, action, target string) (*Entry, error) {
	var id [8]byte
	l.mu.Lock()
	_, err := io.ReadFull(l.random, id[:])
	l.mu.Unlock()
	if err != nil {
		return nil, errors.Annotate(err, "read randomness for an audit entry")
	}
	now = now.UTC()
	return &Entry{ID: now.Format(idTimeLayout) + "-" + hex.EncodeToString(id[:]), Time: now, Who: who, Action: action, Target: target, Result: Unknown}, nil
}

// Write stores the entry, or overwrites what this process stored of it before.
// It may be repeated after any error.
func (l *Log) Write(ctx context.Context, e *Entry) error {
	for _, text := range []*string{&e.Who, &e.Action, &e.Target, &e.Reason, &e.Detail} {
		*text = sanitiseText(*text)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return errors.Trace(err)
	}
	err = l.put(ctx, e, value)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	// Nobody else writes this key, so an earlier write whose answer was lost
	// took effect. Read its version back and overwrite it.
	o, err := l.store.Get(ctx, l.key(e))
	if err != nil {
		return errors.Trace(err)
	}
	if !strings.HasPrefix(o.Writer, e.ID+"/") {
		return errors.AlreadyExistsf("audit entry %s of writer %s", e.ID, o.Writer)
	}
	e.version = o.Version
	return l.put(ctx, e, value)
}

func (l *Log) key(e *Entry) string { return config.AuditPrefix(l.env) + e.ID }

func (l *Log) put(ctx context.Context, e *Entry, value []byte) error {
	e.writes++
	o, err := l.store.Put(ctx, l.key(e), value, e.version, fmt.Sprintf("%s/%d", e.ID, e.writes))
	if err != nil {
		return errors.Trace(err)
	}
	e.version = o.Version
	return nil
}

// sanitiseText shortens a text and removes the secrets of caller keys from it.
func sanitiseText(s string) string {
	s = callerkey.Redact(s)
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes] + "..."
	}
	return strings.ToValidUTF8(s, "?")
}

// Buffer keeps an entry that could not be written for Flush. It never blocks.
// When the buffer is full the entry is dropped and counted: the entries of the
// start of an outage are worth more than those of its end.
func (l *Log) Buffer(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer) >= BufferSize {
		l.dropped++
		return false
	}
	l.buffer = append(l.buffer, e)
	return true
}

// Pending returns the number of entries that wait for Flush.
func (l *Log) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buffer)
}

// Dropped returns the number of entries dropped since the start.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Flush writes waiting entries in order until one fails, and then an entry that
// counts dropped ones. The driver calls it with a delay while it fails. Only one
// goroutine may call it at a time.
func (l *Log) Flush(ctx context.Context, now time.Time) (written int, err error) {
	for {
		e := l.oldestPending()
		if e == nil {
			return written, l.reportDropped(ctx, now)
		}
		err := l.Write(ctx, e)
		unwritable := errors.Is(err, errors.AlreadyExists) // no repeat can succeed
		if err != nil && !unwritable {
			return written, err
		}
		l.mu.Lock()
		l.buffer = l.buffer[1:]
		if unwritable {
			l.dropped++
		}
		l.mu.Unlock()
		if !unwritable {
			written++
		}
	}
}

func (l *Log) oldestPending() *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer) == 0 {
		return nil
	}
	return l.buffer[0]
}

func (l *Log) reportDropped(ctx context.Context, now time.Time) error {
	l.mu.Lock()
	total, n := l.dropped, l.dropped-l.reported
	l.mu.Unlock()
	if n == 0 {
		return nil
	}
	e, err := l.NewEntry(now, "audit", DroppedAction, "audit")
	if err != nil {
		return err
	}
	e.Result, e.Detail = Done, fmt.Sprintf("%d entries were dropped because the buffer was full or they could not be written", n)
	if err := l.Write(ctx, e); err != nil {
		return err
	}
	l.mu.Lock()
	l.reported = total
	l.mu.Unlock()
	return nil
}

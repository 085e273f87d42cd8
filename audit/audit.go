// Package audit stores the audit log of operators' attempts to change an
// environment. Each entry records the operator, the time, the action and its
// target, the versions before and after, and the result.
//
// An entry is one object in the store. It is written before the attempt with the
// result unknown and overwritten afterwards, so that an attempt whose process
// crashes in between stays recorded as unknown.
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
	// BufferSize is the maximum number of entries that wait in memory while the
	// store is unavailable.
	BufferSize = 1024
	// DefaultMaxEntries is the default number of entries to keep in the store:
	// 4.5 days at 4,400 changes a day, about 10 MB.
	DefaultMaxEntries = 20_000
	// maxTextBytes bounds each text field of an entry, so that an entry stays far
	// below the store's limit on the size of a value.
	maxTextBytes = 2 << 10
	// pruneBatchSize bounds the deletes of one call of Prune, so that it uses a
	// small part of the store's capacity of several hundred writes a second.
	pruneBatchSize = 100
	idTimeLayout   = "20060102T150405.000000000Z"
)

// Result is the outcome of an attempt.
type Result string

// The results of attempts.
const (
	// Done: the change took effect.
	Done Result = "done"
	// Refused: nothing was changed.
	Refused Result = "refused"
	// Lost: nothing was changed because another writer updated the object first.
	Lost Result = "lost"
	// Unknown: the change may or may not have taken effect.
	Unknown Result = "unknown"
)

// DroppedAction is the action of entries that record how many other entries were
// dropped.
const DroppedAction = "audit-dropped"

// Entry records one attempt.
type Entry struct {
	// ID is unique and starts with the time, so that ids sort by time.
	ID   string    `json:"id"`
	Time time.Time `json:"time"`
	Who  string    `json:"who"`
	// Action names what was attempted, such as apply.
	Action string `json:"action"`
	// Target is the object, such as customer/c1.
	Target string `json:"target"`
	// From and To are the versions of the object before and after; 0 means
	// that the object did not exist or that the version is unknown.
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Result Result `json:"result"`
	// Forced reports whether the operator overrode a safety check.
	Forced bool `json:"forced,omitempty"`
	// Reason is the reason that the operator gave.
	Reason string `json:"reason,omitempty"`
	// Detail describes the change if it took effect, and the error otherwise.
	Detail string `json:"detail,omitempty"`

	// version is the latest version of the stored entry that this process knows.
	version uint64
	// writes counts the write attempts, so that each has a unique writer id.
	writes int
}

// Log writes and reads the audit entries of one environment. It is safe for
// concurrent use, except that only one goroutine may call Flush at a time.
type Log struct {
	store  store.Store
	env    string
	random io.Reader

	mu       sync.Mutex
	buffer   []*Entry
	dropped  uint64 // since the process started
	reported uint64 // part of dropped that a stored entry already reports
}

// New returns the audit log of environment env in st. Random is the source of
// entry ids.
func New(st store.Store, env string, random io.Reader) *Log {
	return &Log{store: st, env: env, random: random}
}

// NewEntry returns an entry with a unique id and the result Unknown. It does not
// store the entry.
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

// Write stores the entry, or overwrites the version that this process stored
// earlier. It may be repeated after any error. It shortens the entry's texts to
// maxTextBytes and redacts caller keys in them. If another writer holds the
// entry's key, the error satisfies errors.AlreadyExists.
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
	// No other process writes this key, so the conflict means that an earlier
	// write took effect although its response was lost. Read the version back
	// and overwrite it.
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

// sanitiseText redacts caller keys in s and shortens it to maxTextBytes.
func sanitiseText(s string) string {
	s = callerkey.Redact(s)
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes] + "..."
	}
	return strings.ToValidUTF8(s, "?")
}

// Buffer queues an entry that could not be written, for Flush, and reports
// whether it was queued. It never blocks. When the buffer is full, the new entry
// is dropped and counted, since entries from the start of an outage are more
// useful than later ones.
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

// Pending returns the number of buffered entries that wait for Flush.
func (l *Log) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buffer)
}

// Dropped returns the number of entries dropped since the process started.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Flush writes the buffered entries in order and stops at the first error. After
// the last one it writes an entry that records how many entries were dropped. It
// returns the number of buffered entries written. After an error the caller
// should wait before the next call. Only one goroutine may call it at a time.
func (l *Log) Flush(ctx context.Context, now time.Time) (written int, err error) {
	for {
		e := l.oldestPending()
		if e == nil {
			return written, l.reportDropped(ctx, now)
		}
		err := l.Write(ctx, e)
		unwritable := errors.Is(err, errors.AlreadyExists) // a retry cannot succeed
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

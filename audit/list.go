package audit

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/store"
)

// Filter selects audit entries. An empty field matches every entry.
type Filter struct {
	Who    string
	Action string
	// Target selects the entries of one target or, if it ends with a slash, of
	// all targets with this prefix.
	Target string
	Result Result
	// Since (inclusive) and Until (exclusive) bound the time of the entries.
	Since, Until time.Time
	// Limit is the maximum number of entries, the newest of those selected; 0
	// means no limit.
	Limit int
}

func (f Filter) selects(e *Entry) bool {
	return (f.Who == "" || f.Who == e.Who) &&
		(f.Action == "" || f.Action == e.Action) &&
		(f.Target == "" || f.Target == e.Target || strings.HasSuffix(f.Target, "/") && strings.HasPrefix(e.Target, f.Target)) &&
		(f.Result == "" || f.Result == e.Result) &&
		(f.Since.IsZero() || !e.Time.Before(f.Since)) &&
		(f.Until.IsZero() || e.Time.Before(f.Until))
}

// List returns the stored entries that the filter selects, oldest first. For an
// entry that cannot be decoded it uses an entry with the id, the result Unknown
// and the error as detail.
func (l *Log) List(ctx context.Context, f Filter) ([]Entry, error) {
	prefix := config.AuditPrefix(l.env)
	listing, err := l.store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Annotate(err, "list audit entries")
	}
	var out []Entry
	for _, o := range listing.Objects {
		var e Entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			e = Entry{ID: strings.TrimPrefix(o.Key, prefix), Result: Unknown, Detail: "entry cannot be read: " + err.Error()}
		}
		if f.selects(&e) {
			out = append(out, e)
		}
	}
	if f.Limit > 0 && len(out) > f.Limit {
		out = out[len(out)-f.Limit:]
	}
	return out, nil
}

// Prune deletes the oldest entries until keep remain, at most 100 per call, and
// returns the number deleted. It skips entries that another process deletes or
// changes at the same time.
func (l *Log) Prune(ctx context.Context, keep int) (int, error) {
	listing, err := l.store.List(ctx, config.AuditPrefix(l.env))
	if err != nil {
		return 0, errors.Annotate(err, "list audit entries")
	}
	excess := min(len(listing.Objects)-max(keep, 0), pruneBatchSize)
	deleted := 0
	for _, o := range listing.Objects[:max(excess, 0)] {
		err := l.store.Delete(ctx, o.Key, o.Version, "audit-prune")
		switch {
		case err == nil:
			deleted++
		case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrConflict):
		default:
			return deleted, errors.Annotate(err, "delete audit entry")
		}
	}
	return deleted, nil
}

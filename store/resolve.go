package store

import (
	"context"
	"fmt"

	"github.com/juju/errors"
)

// Outcome tells what is known about one conditional write.
type Outcome uint8

// The outcomes of a write.
const (
	// Unknown: the write may or may not have taken effect. Call Resolve
	// later with the same Attempt.
	Unknown Outcome = iota
	// Applied: the write took effect.
	Applied
	// NotApplied: the write did not take effect. See Result.Final.
	NotApplied
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	}
	return "unknown"
}

// Attempt identifies one conditional write.
type Attempt struct {
	Key string
	// Previous is the version that the write required; 0 for a creation.
	Previous uint64
	// Writer is the id of this write alone.
	Writer string
}

// Result is what is known about an Attempt.
type Result struct {
	Attempt Attempt
	Outcome Outcome
	// Current is the newest state of the object that was seen. Its Version is
	// 0 when the object does not exist or was not read.
	Current Object
	// Final says that a NotApplied write can not take effect later either.
	// It is false when the store still has the previous version: the request
	// may be on its way. A second write with the same precondition and a new
	// writer id is safe then, since at most one of the two takes effect.
	Final bool
}

// ConflictError says who won the race for a version. It matches ErrConflict.
type ConflictError struct {
	Key      string
	Expected uint64
	// Current and Winner are the version and the writer now in the store.
	Current uint64
	Winner  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q: expected version %d, found version %d written by %q",
		e.Key, e.Expected, e.Current, e.Winner)
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Update reads the object, lets mutate compute the new value (old is nil when
// the object does not exist) and writes it with one conditional Put. It never
// repeats the Put. When the answer of the Put is missing it reads the object
// back. The error is nil exactly when the outcome is Applied; an error of
// mutate is returned as it is. Writer must be unique per call.
func Update(ctx context.Context, st Store, key, writer string, mutate func(old *Object) ([]byte, error)) (Result, error) {
	a := Attempt{Key: key, Writer: writer}
	res := Result{Attempt: a, Outcome: NotApplied, Final: true}
	var old *Object
	cur, err := st.Get(ctx, key)
	switch {
	case err == nil:
		old, a.Previous = &cur, cur.Version
	case !errors.Is(err, ErrNotFound):
		return res, err
	}
	res.Attempt, res.Current = a, cur
	value, err := mutate(old)
	if err != nil {
		return res, err
	}
	obj, err := st.Put(ctx, key, value, a.Previous, writer)
	switch {
	case err == nil:
		return Result{Attempt: a, Outcome: Applied, Current: obj, Final: true}, nil
	case errors.Is(err, ErrConflict):
		res.Current = obj
		return res, &ConflictError{Key: key, Expected: a.Previous, Current: obj.Version, Winner: obj.Writer}
	case errors.Is(err, ErrThrottled), errors.Is(err, ErrTooLarge), errors.Is(err, errors.NotValid):
		return res, err
	}
	// Unavailable, or the context ended: the write may have taken effect.
	return readBack(ctx, st, a, err)
}

// Resolve reads the object of an earlier attempt back and tells whether the
// attempt took effect. The error is nil exactly when the outcome is Applied.
func Resolve(ctx context.Context, st Store, a Attempt) (Result, error) {
	return readBack(ctx, st, a, ErrUnavailable)
}

func readBack(ctx context.Context, st Store, a Attempt, cause error) (Result, error) {
	cur, err := st.Get(ctx, a.Key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Result{Attempt: a, Outcome: Unknown}, cause
	}
	res := Result{Attempt: a, Current: cur}
	switch {
	case err == nil && cur.Writer == a.Writer:
		res.Outcome, res.Final = Applied, true
		return res, nil
	case cur.Version == a.Previous:
		res.Outcome = NotApplied
		return res, cause
	case cur.Version == a.Previous+1:
		res.Outcome, res.Final = NotApplied, true
		return res, &ConflictError{Key: a.Key, Expected: a.Previous, Current: cur.Version, Winner: cur.Writer}
	}
	// Two or more writes or a deletion followed. The first of them may have
	// been this attempt.
	res.Outcome = Unknown
	return res, cause
}

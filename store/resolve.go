package store

import (
	"context"
	"fmt"

	"github.com/juju/errors"
)

// Outcome is the known effect of one conditional write.
type Outcome uint8

// The outcomes of a write.
const (
	// Unknown: the write may or may not have taken effect. The caller can call
	// Resolve later with the same Attempt.
	Unknown Outcome = iota
	// Applied: the write took effect.
	Applied
	// NotApplied: the write has not taken effect. Result.Final tells whether it
	// still can.
	NotApplied
)

// String returns the name of the outcome in lower case.
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
	// Writer is an ID that is unique to this write.
	Writer string
}

// Result holds the outcome of an Attempt and the state of its object.
type Result struct {
	Attempt Attempt
	Outcome Outcome
	// Current is the last state of the object that the store returned. Its
	// Version is 0 if the object does not exist or could not be read.
	Current Object
	// Final means that the outcome cannot change any more. It is false for a
	// NotApplied write if the store still has the previous version, because
	// the request may still be in flight. A second write with the same
	// precondition and a new writer ID is safe then, since at most one of the
	// two takes effect.
	Final bool
}

// ConflictError reports that another write changed the version that a write
// required. It matches ErrConflict.
type ConflictError struct {
	Key      string
	Expected uint64
	// Current and Winner are the version and the writer found in the store.
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

// Update reads the object, calls mutate for the new value and writes it with
// one conditional Put. The argument old of mutate is nil if the object does not
// exist. Update never repeats the Put; if its response is missing, Update reads
// the object back. The error is nil if and only if the outcome is Applied. An
// error of mutate is returned unchanged. The writer must be unique per call.
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
	// The store was unavailable or the context ended, so the write may have
	// taken effect.
	return readBack(ctx, st, a, err)
}

// Resolve reads back the object of an earlier attempt and determines whether
// the attempt took effect. The error is nil if and only if the outcome is
// Applied.
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
	// The object was deleted or written at least twice since the previous
	// version. The first of these writes may have been this attempt.
	res.Outcome = Unknown
	return res, cause
}

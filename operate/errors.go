package operate

import (
	"fmt"

	"github.com/juju/errors"
)

// The causes of a RefusedError that a caller may test for with errors.Is.
const (
	// ErrNotProven: the version was not proven in the source environment.
	ErrNotProven = errors.ConstError("version not proven")
	// ErrNoChange: the wanted state is the present one.
	ErrNoChange = errors.ConstError("nothing to change")
	// ErrUnknownName: no such customer, key, server, data centre or version.
	ErrUnknownName = errors.ConstError("unknown name")
	// ErrInvalid: the input is impossible; its details follow.
	ErrInvalid = errors.ConstError("invalid input")
	// ErrUnsafe: the action needs to be forced.
	ErrUnsafe = errors.ConstError("refused unless forced")
)

// RefusedError says that an action was refused and changed nothing.
type RefusedError struct {
	Action string
	// Reason is one of the causes above or an error of the store.
	Reason error
	Detail string
	// Cause is the error behind Reason, such as config.Problems of a
	// document, or nil.
	Cause error
}

// Error implements error.
func (e *RefusedError) Error() string {
	s := fmt.Sprintf("%s refused, nothing was changed: %s", e.Action, e.Reason)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Unwrap returns the reason and the cause.
func (e *RefusedError) Unwrap() []error { return []error{e.Reason, e.Cause} }

// refusef returns a RefusedError whose action run fills in.
func refusef(reason error, format string, args ...any) error {
	return &RefusedError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// ConflictError says that nothing was changed because the object is not, or
// was no longer, at the version that the action was based on.
type ConflictError struct {
	Key string
	// Base is the version that the action was based on, Version the one
	// found; 0 means that the object does not exist.
	Base, Version uint64
	// Writer is the writer of Version: operator/attempt.
	Writer string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Version == 0 {
		return fmt.Sprintf("%s does not exist any more; the change was based on version %d; nothing was changed", e.Key, e.Base)
	}
	return fmt.Sprintf("%s is at version %d, written by %s; the change was based on version %d; nothing was changed", e.Key, e.Version, e.Writer, e.Base)
}

// UnresolvedError says that the answer to the conditional update was lost and
// that reading the object back did not tell whether it took effect.
type UnresolvedError struct {
	Key    string
	Base   uint64
	Writer string
	// FoundVersion is the version read back, when it could be read.
	FoundVersion uint64
	// Found says whether the object could be read back.
	Found bool
	// Cause is the error of the update, or of reading back.
	Cause error
}

// Error implements error.
func (e *UnresolvedError) Error() string {
	if !e.Found {
		return fmt.Sprintf("the outcome of writing %s as %s on version %d is unknown; read it before repeating: %s", e.Key, e.Writer, e.Base, e.Cause)
	}
	if e.FoundVersion == e.Base {
		return fmt.Sprintf("%s was still at version %d when read back; a delayed write as %s may yet take effect; read it before repeating: %s", e.Key, e.FoundVersion, e.Writer, e.Cause)
	}
	return fmt.Sprintf("%s is at version %d; whether the write as %s on version %d took effect before that is unknown: %s", e.Key, e.FoundVersion, e.Writer, e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

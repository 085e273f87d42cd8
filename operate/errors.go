package operate

import (
	"fmt"

	"github.com/juju/errors"
)

// The reasons of a RefusedError, for use with errors.Is.
const (
	// ErrNotProven: the source environment has no passed proof of the version.
	ErrNotProven = errors.ConstError("version not proven")
	// ErrNoChange: the environment is already in the requested state.
	ErrNoChange = errors.ConstError("nothing to change")
	// ErrUnknownName: the named object does not exist, such as a customer, key,
	// service, server, data centre or version.
	ErrUnknownName = errors.ConstError("unknown name")
	// ErrInvalid: the input is invalid; RefusedError.Detail says why.
	ErrInvalid = errors.ConstError("invalid input")
	// ErrUnsafe: the action is carried out only if it is forced.
	ErrUnsafe = errors.ConstError("refused unless forced")
)

// RefusedError reports that an action was refused and nothing was changed.
type RefusedError struct {
	Action string
	// Reason is one of the reasons above or an error of the store.
	Reason error
	Detail string
	// Cause is the underlying error, such as config.Problems for an invalid
	// document, or nil.
	Cause error
}

// Error returns the action, the reason and the detail.
func (e *RefusedError) Error() string {
	s := fmt.Sprintf("%s refused, nothing was changed: %s", e.Action, e.Reason)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	return s
}

// Unwrap returns the reason and the cause, for errors.Is and errors.As.
func (e *RefusedError) Unwrap() []error { return []error{e.Reason, e.Cause} }

// refusef returns a RefusedError with a formatted detail. The field Action is set
// by asActionError.
func refusef(reason error, format string, args ...any) error {
	return &RefusedError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// ConflictError reports that nothing was changed because the object was not at
// the version that the action was based on.
type ConflictError struct {
	Key string
	// Base is the version that the action was based on, and Version the one
	// found. 0 means that the object does not exist.
	Base, Version uint64
	// Writer is the writer id of Version, in the form operator/attempt.
	Writer string
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Version == 0 {
		return fmt.Sprintf("%s does not exist any more; the change was based on version %d; nothing was changed", e.Key, e.Base)
	}
	return fmt.Sprintf("%s is at version %d, written by %s; the change was based on version %d; nothing was changed", e.Key, e.Version, e.Writer, e.Base)
}

// UnresolvedError reports that the response to a conditional update was lost and
// that reading the object back did not show whether the update took effect.
type UnresolvedError struct {
	Key    string
	Base   uint64
	Writer string
	// FoundVersion is the version read back, valid only if Found is true.
	FoundVersion uint64
	// Found reports whether the object could be read back. It is true for a
	// missing object, whose FoundVersion is 0.
	Found bool
	// Cause is the error of the update, or of reading the object back.
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

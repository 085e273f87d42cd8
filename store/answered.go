package store

import "github.com/juju/errors"

// Answered reports whether the store answered a call that returned err. An answer may be a
// refusal, but not one that says that the store is unavailable.
func Answered(err error) bool {
	for _, answer := range []error{ErrNotFound, ErrConflict, ErrThrottled, ErrCompacted} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return err == nil
}

package operate

import (
	"context"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/store"
)

const (
	// outcomeTimeout bounds the calls that determine and record an outcome.
	// They do not end with the operator's context.
	outcomeTimeout = 10 * time.Second
	// readBackAttempts and readBackBackoff bound the attempts to read an object
	// back: 5 attempts with delays of 200, 400, 800 and 1,600 ms between them.
	readBackAttempts = 5
	readBackBackoff  = 200 * time.Millisecond
)

// write makes one conditional update and determines its outcome.
func (o *Operator) write(ctx context.Context, ch change) (Receipt, error) {
	writer, err := o.newWriter()
	if err != nil {
		return Receipt{}, err
	}
	r := Receipt{Key: ch.key, From: ch.base, Writer: writer}
	if ch.deletes {
		err = o.Store.Delete(ctx, ch.key, ch.base, writer)
	} else {
		var obj store.Object
		obj, err = o.Store.Put(ctx, ch.key, ch.value, ch.base, writer)
		r.To = obj.Version
	}
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrTooLarge):
		return Receipt{}, refusef(err, "%s", ch.key)
	}
	return o.resolve(ctx, ch, r, err)
}

// resolve reads an object back after an update that was refused or whose response
// was lost, and determines the outcome. It does not send the update again: the
// first one may be delayed and still take effect, and only the operator can decide
// whether to repeat it.
func (o *Operator) resolve(ctx context.Context, ch change, r Receipt, cause error) (Receipt, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	refused := errors.Is(cause, store.ErrConflict) || ch.deletes && errors.Is(cause, store.ErrNotFound)
	obj, err := o.readBack(ctx, ch.key)
	switch {
	case err != nil && refused:
		return Receipt{}, &ConflictError{Key: ch.key, Base: ch.base, Writer: "unknown: " + err.Error()}
	case err != nil:
		return Receipt{}, &UnresolvedError{Key: ch.key, Base: ch.base, Writer: r.Writer, Cause: err}
	case !ch.deletes && obj.Writer == r.Writer, ch.deletes && !refused && obj.Version == 0:
		// A deleted object has no writer id. Whoever deleted it, the object is
		// in the requested state.
		r.To, r.Resolved = obj.Version, true
		return r, nil
	case refused, !ch.deletes && ch.base > 0 && obj.Version == ch.base+1:
		// Another writer created the version that this update would have created.
		return Receipt{}, &ConflictError{Key: ch.key, Base: ch.base, Version: obj.Version, Writer: obj.Writer}
	}
	return Receipt{}, &UnresolvedError{Key: ch.key, Base: ch.base, Writer: r.Writer, FoundVersion: obj.Version, Found: true, Cause: cause}
}

// readBack reads an object and retries after errors. A missing object has version
// 0.
func (o *Operator) readBack(ctx context.Context, key string) (store.Object, error) {
	for attempt := 0; ; attempt++ {
		obj, err := o.Store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return store.Object{Key: key}, nil
		}
		if err == nil || attempt+1 == readBackAttempts || ctx.Err() != nil {
			return obj, err
		}
		o.Pause(ctx, readBackBackoff<<attempt)
	}
}

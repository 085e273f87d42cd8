// Package operate implements the actions of operators on an environment. Each
// action that changes the environment makes one conditional update of one object.
// It is recorded in the audit log even if it is refused.
//
// An update is never sent twice. If its response is lost, the object is read back,
// and its version and writer id show whether the update took effect.
package operate

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/audit"
	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/store"
)

// AnyBase, used as the base of an action, stands for the version that the action
// itself reads. A write by another operator between that read and the update
// still causes a ConflictError.
const AnyBase = ^uint64(0)

// Settings are the settings of an Operator.
type Settings struct {
	Store store.Store
	// Env is the environment that the actions change.
	Env string
	// OperatorName is part of the writer id of every update and is recorded in
	// the audit log.
	OperatorName string
	// Now returns the wall-clock time; the default is time.Now.
	Now func() time.Time
	// Random is the source of caller keys and unique ids. It must be
	// cryptographically secure, such as crypto/rand.Reader.
	Random io.Reader
	// Pause waits between attempts to read an object back and returns early
	// when the context ends. The default uses a timer.
	Pause func(context.Context, time.Duration)
	// Audit is the audit log; the default is a new log in Store.
	Audit *audit.Log
}

// Operator performs actions on behalf of one operator. It is safe for concurrent
// use if Random is.
type Operator struct{ Settings }

// New returns an operator, or an error that names the invalid setting.
func New(s Settings) (*Operator, error) {
	if s.Store == nil || s.Random == nil {
		return nil, errors.NotValidf("operator without store or random source")
	}
	if !config.ValidName(s.Env) || len(s.Env) > callerkey.MaxEnvironmentLen {
		return nil, errors.NotValidf("environment %q", s.Env)
	}
	if s.OperatorName == "" || len(s.OperatorName) > 64 || strings.ContainsAny(s.OperatorName, "/ \t\r\n") {
		return nil, errors.NotValidf("operator %q", s.OperatorName)
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Pause == nil {
		s.Pause = pause
	}
	if s.Audit == nil {
		s.Audit = audit.New(s.Store, s.Env, s.Random)
	}
	return &Operator{s}, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Receipt describes a change that took effect.
type Receipt struct {
	Key string
	// From and To are the versions before and after; 0 means that the object
	// does not exist.
	From, To uint64
	// Writer is the writer id of the update.
	Writer string
	// Resolved reports that the response was lost and that reading the object
	// back showed the requested state.
	Resolved bool
	// AuditID is the id of the audit entry.
	AuditID string
	// AuditPending reports that the result could not be stored yet. The audit
	// entry shows the result as unknown until Audit.Flush succeeds.
	AuditPending bool
}

// action holds the fields of an audit entry that are known before the attempt.
type action struct {
	name, target, reason string
	forced               bool
}

// change is one conditional update.
type change struct {
	key     string
	value   []byte
	base    uint64
	deletes bool
	// detail is recorded in the audit entry if the change takes effect.
	detail string
}

// run writes the audit entry of an attempt, prepares its change, writes the change
// and records the result. The function prepare must not write to the store, except
// for copies of replaced documents.
func (o *Operator) run(ctx context.Context, a action, prepare func(context.Context) (change, error)) (Receipt, error) {
	entry, err := o.Audit.NewEntry(o.Now(), o.OperatorName, a.name, a.target)
	if err != nil {
		return Receipt{}, &RefusedError{Action: a.name, Reason: err}
	}
	entry.Reason, entry.Forced = a.reason, a.forced
	if err := o.Audit.Write(ctx, entry); err != nil {
		// Nothing may be changed without an audit entry.
		err = &RefusedError{Action: a.name, Reason: err, Detail: "the attempt could not be audited"}
		entry.Result, entry.Detail = audit.Refused, err.Error()
		o.Audit.Buffer(entry)
		return Receipt{}, err
	}
	ch, err := prepare(ctx)
	var r Receipt
	if err == nil {
		r, err = o.write(ctx, ch)
	}
	err = asActionError(a.name, err)
	o.recordResult(ctx, entry, &r, ch, err)
	return r, err
}

// asActionError sets the action of a RefusedError. It returns conflicts and
// unresolved outcomes unchanged and wraps any other error in a RefusedError.
func asActionError(action string, err error) error {
	var refused *RefusedError
	var conflict *ConflictError
	var unresolved *UnresolvedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		refused.Action = action
	case errors.As(err, &conflict), errors.As(err, &unresolved):
	default:
		return &RefusedError{Action: action, Reason: err}
	}
	return err
}

// recordResult stores the result in the audit entry, even if ctx has ended. If that
// fails, it buffers the entry.
func (o *Operator) recordResult(ctx context.Context, entry *audit.Entry, r *Receipt, ch change, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	entry.Result, entry.Detail = resultOf(err), ch.detail
	if ch.base != AnyBase {
		entry.From = ch.base
	}
	entry.To = r.To
	if err != nil {
		entry.To, entry.Detail = 0, err.Error()
	}
	r.AuditID = entry.ID
	if err := o.Audit.Write(ctx, entry); err != nil {
		o.Audit.Buffer(entry)
		r.AuditPending = true
	}
}

func resultOf(err error) audit.Result {
	var conflict *ConflictError
	var unresolved *UnresolvedError
	switch {
	case err == nil:
		return audit.Done
	case errors.As(err, &conflict):
		return audit.Lost
	case errors.As(err, &unresolved):
		return audit.Unknown
	}
	return audit.Refused
}

// newWriter returns a writer id that is unique per attempt.
func (o *Operator) newWriter() (string, error) {
	var id [8]byte
	if _, err := io.ReadFull(o.Random, id[:]); err != nil {
		return "", errors.Annotate(err, "read randomness for a writer id")
	}
	return o.OperatorName + "/" + hex.EncodeToString(id[:]), nil
}

// getAtBase reads an object and returns a ConflictError if its version is not base.
// A missing object has version 0.
func (o *Operator) getAtBase(ctx context.Context, key string, base uint64) (store.Object, error) {
	obj, err := o.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		obj, err = store.Object{Key: key}, nil
	}
	if err != nil {
		return store.Object{}, errors.Annotatef(err, "read %s", key)
	}
	if base != AnyBase && obj.Version != base {
		return obj, &ConflictError{Key: key, Base: base, Version: obj.Version, Writer: obj.Writer}
	}
	return obj, nil
}

// View reads the environment's configuration from the store.
func (o *Operator) View(ctx context.Context) (*config.View, error) {
	l, err := o.Store.List(ctx, config.EnvPrefix(o.Env))
	if err != nil {
		return nil, errors.Annotate(err, "read configuration")
	}
	return config.NewView(o.Env).Apply(config.FullCopy(l))
}

// Diff returns what a document would change, and the version to pass to Apply as
// the base. The error for an invalid document is config.Problems.
func (o *Operator) Diff(ctx context.Context, file string, document []byte) (*config.Changes, uint64, error) {
	v, err := o.View(ctx)
	if err != nil {
		return nil, 0, err
	}
	next, err := v.WithDocument(file, document)
	if err != nil {
		return nil, 0, err
	}
	obj, err := o.getAtBase(ctx, config.DocumentKey(o.Env), AnyBase)
	if err != nil {
		return nil, 0, err
	}
	if version, _ := v.DocumentVersion(); version != obj.Version && version != 0 {
		return nil, 0, &ConflictError{Key: obj.Key, Base: version, Version: obj.Version, Writer: obj.Writer}
	}
	return config.Diff(v, next), obj.Version, nil
}

// History returns the audit entries that f selects, oldest first.
func (o *Operator) History(ctx context.Context, f audit.Filter) ([]audit.Entry, error) {
	return o.Audit.List(ctx, f)
}

func invalidInput(err error) error {
	return &RefusedError{Reason: ErrInvalid, Detail: err.Error(), Cause: err}
}

func target(class string, name any) string { return fmt.Sprintf("%s/%v", class, name) }

package callerkey

import (
	"crypto/subtle"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Record is the stored form of a key. A customer may have several keys at once,
// so that keys can be rotated with overlapping validity.
type Record struct {
	ID   ID   `json:"id"`
	Hash Hash `json:"hash"`
	// NotBefore is the time from which the key is valid; zero means no lower
	// bound.
	NotBefore time.Time `json:"not_before,omitzero"`
	// NotAfter is the time from which the key is no longer valid; zero means
	// that it does not expire.
	NotAfter time.Time `json:"not_after,omitzero"`
	// Withdrawn is the time of withdrawal, for information only: a key with a
	// non-zero value is invalid immediately, whatever the local clock reads.
	Withdrawn time.Time `json:"withdrawn,omitzero"`
	// WithdrawnBy is the operator who withdrew the key.
	WithdrawnBy string `json:"withdrawn_by,omitempty"`
	// Note is a free-text remark by the operator.
	Note string `json:"note,omitempty"`
}

// Validate returns an error if the id does not match the hash or the validity
// ends before it begins.
func (r *Record) Validate() error {
	if r.ID != r.Hash.ID() {
		return errors.NotValidf("caller key %s (id does not match its hash)", r.ID)
	}
	if !r.NotBefore.IsZero() && !r.NotAfter.IsZero() && !r.NotBefore.Before(r.NotAfter) {
		return errors.NotValidf("caller key %s (validity ends before it begins)", r.ID)
	}
	return nil
}

// Check returns the reason why the key is not valid at now (wall clock), or nil.
func (r *Record) Check(now time.Time) error {
	switch {
	case !r.Withdrawn.IsZero():
		return ErrWithdrawn
	case !r.NotBefore.IsZero() && now.Before(r.NotBefore):
		return ErrNotYetValid
	case !r.NotAfter.IsZero() && !now.Before(r.NotAfter):
		return ErrExpired
	}
	return nil
}

// Identity is the result of a successful verification: the customer and the id
// of the key that was presented.
type Identity struct {
	Customer topo.CustomerID
	KeyID    ID
}

type entry struct {
	customer topo.CustomerID
	record   Record
}

// Snapshot is an immutable set of the keys of one environment. It is safe for
// concurrent use without locks.
type Snapshot struct {
	environment string
	entries     map[ID]*entry
}

// NewSnapshot indexes the records of all customers by id. It returns an error
// for an invalid record and for two records with the same id, since a lookup
// could find only one of them.
func NewSnapshot(environment string, records map[topo.CustomerID][]Record) (*Snapshot, error) {
	s := &Snapshot{environment: environment, entries: map[ID]*entry{}}
	for customer, rs := range records {
		for _, r := range rs {
			if err := r.Validate(); err != nil {
				return nil, errors.Annotatef(err, "customer %q", customer)
			}
			if other := s.entries[r.ID]; other != nil {
				return nil, errors.AlreadyExistsf("caller key %s of customer %q (also stored for customer %q)", r.ID, customer, other.customer)
			}
			s.entries[r.ID] = &entry{customer: customer, record: r}
		}
	}
	return s, nil
}

// Len returns the number of keys.
func (s *Snapshot) Len() int { return len(s.entries) }

// Lookup returns the customer and the record of a public id.
func (s *Snapshot) Lookup(id ID) (topo.CustomerID, Record, bool) {
	e := s.entries[id]
	if e == nil {
		return "", Record{}, false
	}
	return e.customer, e.record, true
}

// zeroHash is compared in place of the hash of an unknown key, so that unknown
// ids and wrong secrets take the same code path.
var zeroHash Hash

// Verify verifies the text form of a key at now (wall clock). It compares hashes
// in constant time. The error is one of the constants of this package and
// contains no part of the text.
func (s *Snapshot) Verify(text string, now time.Time) (Identity, error) {
	id, hash, err := parse(text, s.environment)
	if err != nil {
		return Identity{}, err
	}
	e, stored := s.entries[id], &zeroHash
	if e != nil {
		stored = &e.record.Hash
	}
	if subtle.ConstantTimeCompare(hash[:], stored[:]) != 1 || e == nil {
		return Identity{}, ErrUnknown
	}
	if err := e.record.Check(now); err != nil {
		return Identity{}, err
	}
	return Identity{Customer: e.customer, KeyID: id}, nil
}

// Confirm checks, without hashing, that a key verified earlier is still valid for
// the same customer.
func (s *Snapshot) Confirm(identity Identity, now time.Time) error {
	e := s.entries[identity.KeyID]
	if e == nil || e.customer != identity.Customer {
		return ErrUnknown
	}
	return e.record.Check(now)
}

// Verifier verifies keys against the latest snapshot while the freshness lease
// is valid. It is safe for concurrent use; Verify and Confirm take no lock.
type Verifier struct {
	snapshot  atomic.Pointer[Snapshot]
	freshness *Freshness
}

// NewVerifier returns a verifier that refuses every key until Set has been
// called and the freshness lease is valid.
func NewVerifier(freshness *Freshness) *Verifier {
	v := &Verifier{freshness: freshness}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Set replaces the snapshot. The caller must call it before it passes the
// snapshot's revision to Freshness.MarkApplied.
func (v *Verifier) Set(s *Snapshot) { v.snapshot.Store(s) }

// Verify checks the freshness lease and then verifies the key. The time now must
// carry a monotonic clock reading.
func (v *Verifier) Verify(text string, now time.Time) (Identity, error) {
	if !v.freshness.Valid(now) {
		return Identity{}, ErrFreshnessLost
	}
	return v.snapshot.Load().Verify(text, now)
}

// Confirm checks the freshness lease and the key's validity again at the moment
// of use, since the request may have been queued, or this process paused, after
// the verification.
func (v *Verifier) Confirm(identity Identity, now time.Time) error {
	if !v.freshness.Valid(now) {
		return ErrFreshnessLost
	}
	return v.snapshot.Load().Confirm(identity, now)
}

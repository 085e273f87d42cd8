package callerkey

import (
	"crypto/subtle"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// Record is the stored form of a key. A customer may have several at once, so
// that a new key is handed out before the old one ends.
type Record struct {
	ID   ID   `json:"id"`
	Hash Hash `json:"hash"`
	// NotBefore is the first moment at which the key is valid; zero means
	// always.
	NotBefore time.Time `json:"not_before,omitzero"`
	// NotAfter is the first moment at which the key is no longer valid; zero
	// means never.
	NotAfter time.Time `json:"not_after,omitzero"`
	// Withdrawn is the moment of withdrawal, for the record only: a key with
	// a non-zero value is invalid at once, whatever the clock says.
	Withdrawn time.Time `json:"withdrawn,omitzero"`
	// WithdrawnBy is the operator who withdrew the key.
	WithdrawnBy string `json:"withdrawn_by,omitempty"`
	// Note is the operator's free text.
	Note string `json:"note,omitempty"`
}

// Validate reports an impossible record.
func (r *Record) Validate() error {
	if r.ID != r.Hash.ID() {
		return errors.NotValidf("caller key %s: id does not match its hash", r.ID)
	}
	if !r.NotBefore.IsZero() && !r.NotAfter.IsZero() && !r.NotBefore.Before(r.NotAfter) {
		return errors.NotValidf("caller key %s: validity that ends before it begins", r.ID)
	}
	return nil
}

// Check reports why the key is not valid at now (wall clock), or nil.
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

// Identity is the result of a successful verification.
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

// NewSnapshot indexes the records of all customers. Two records with the same
// id are an error, since only one could ever be found.
func NewSnapshot(environment string, records map[topo.CustomerID][]Record) (*Snapshot, error) {
	s := &Snapshot{environment: environment, entries: map[ID]*entry{}}
	for customer, rs := range records {
		for _, r := range rs {
			if err := r.Validate(); err != nil {
				return nil, errors.Annotatef(err, "customer %q", customer)
			}
			if other := s.entries[r.ID]; other != nil {
				return nil, errors.AlreadyExistsf("caller key %s of customer %q, also of customer %q,", r.ID, customer, other.customer)
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

// zeroHash stands in for the hash of an unknown key, so that unknown ids and
// wrong secrets take the same path.
var zeroHash Hash

// Verify checks the text form of a key at now (wall clock). The comparison of
// hashes takes constant time. The error is one of the constants of this
// package and holds no part of the text.
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

// Confirm checks again, without hashing, that a verified key is still valid.
func (s *Snapshot) Confirm(identity Identity, now time.Time) error {
	e := s.entries[identity.KeyID]
	if e == nil || e.customer != identity.Customer {
		return ErrUnknown
	}
	return e.record.Check(now)
}

// Verifier verifies keys against the newest snapshot while the freshness lease
// is valid. Readers take no lock.
type Verifier struct {
	snapshot  atomic.Pointer[Snapshot]
	freshness *Freshness
}

// NewVerifier returns a verifier that refuses every key until Set was called
// and fresh is valid.
func NewVerifier(freshness *Freshness) *Verifier {
	v := &Verifier{freshness: freshness}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Set replaces the snapshot. The caller sets the snapshot before it reports
// its revision to the freshness lease as applied.
func (v *Verifier) Set(s *Snapshot) { v.snapshot.Store(s) }

// Verify checks freshness and then the key. Now must carry a monotonic reading.
func (v *Verifier) Verify(text string, now time.Time) (Identity, error) {
	if !v.freshness.Valid(now) {
		return Identity{}, ErrFreshnessLost
	}
	return v.snapshot.Load().Verify(text, now)
}

// Confirm checks freshness and validity again at the moment of use, since a
// request may have waited since it was verified and this process may have been
// paused.
func (v *Verifier) Confirm(identity Identity, now time.Time) error {
	if !v.freshness.Valid(now) {
		return ErrFreshnessLost
	}
	return v.snapshot.Load().Confirm(identity, now)
}

// Package callerkey issues and verifies caller keys, the credentials of
// callers.
//
// A key holds a secret of 256 random bits. Only the SHA-256 hash of the secret
// is stored. A slow, salted hash is not needed: such hashes protect passwords
// that an attacker can guess, and 256 random bits can neither be guessed nor
// listed in a table, while a fast hash keeps verification below 1 us.
//
// The package is pure: time and randomness are passed in.
package callerkey

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"io"
	"strings"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/errkind"
)

// Prefix starts the text form of every caller key, so that scanners of leaked
// secrets recognise it.
const Prefix = "gwk_"

const (
	// secretBytes is the size of the secret.
	secretBytes = 32
	// idBytes is the size of the public id, the first bytes of the hash. At
	// a million keys, two ids are equal by chance with probability 3e-8;
	// package config then refuses both customers.
	idBytes = 8
	// suffixLen is the length of the text after the environment:
	// _<id>_<secret>_<checksum>, all in hexadecimal.
	suffixLen = 1 + 2*idBytes + 1 + 2*secretBytes + 1 + 2*crc32.Size
	// MaxEnvironmentLen is the greatest length of an environment's name, in
	// bytes.
	MaxEnvironmentLen = 32
)

// The reasons why a key is not accepted.
const (
	// ErrMissing: no key came with the request.
	ErrMissing = errors.ConstError("caller key missing")
	// ErrMalformed: the text does not have the form of a caller key.
	ErrMalformed = errors.ConstError("caller key malformed")
	// ErrChecksum: the checksum differs; the key was probably mistyped or
	// cut off.
	ErrChecksum = errors.ConstError("caller key checksum differs; the key was probably mistyped")
	// ErrEnvironment: the key was issued for another environment.
	ErrEnvironment = errors.ConstError("caller key belongs to another environment")
	// ErrUnknown: no stored hash matches the key.
	ErrUnknown = errors.ConstError("caller key unknown")
	// ErrNotYetValid: the key's validity has not begun.
	ErrNotYetValid = errors.ConstError("caller key not yet valid")
	// ErrExpired: the key's validity has ended.
	ErrExpired = errors.ConstError("caller key expired")
	// ErrWithdrawn: the key was withdrawn.
	ErrWithdrawn = errors.ConstError("caller key withdrawn")
	// ErrFreshnessLost: this VM has not heard lately which keys are valid.
	ErrFreshnessLost = errors.ConstError("configuration freshness lost")
)

// Kind maps a reason to the error kind that callers see. Apart from a missing
// key and lost freshness it tells callers nothing about the reason.
func Kind(err error) errkind.Kind {
	switch err {
	case ErrMissing:
		return errkind.CallerKeyMissing
	case ErrFreshnessLost:
		return errkind.FreshnessLost
	}
	return errkind.CallerKeyInvalid
}

// ID is the public part of a caller key: the first bytes of the hash of its
// secret. It may be logged.
type ID [idBytes]byte

// String returns the id in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error { return decodeHex(id[:], text, "caller key id") }

// ParseID parses the form that String writes.
func ParseID(s string) (ID, error) {
	var id ID
	return id, id.UnmarshalText([]byte(s))
}

// Hash is the SHA-256 hash of a secret.
type Hash [sha256.Size]byte

// ID returns the public id that belongs to the hash.
func (h Hash) ID() ID { return ID(h[:idBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error { return decodeHex(h[:], text, "caller key hash") }

func decodeHex(dst, text []byte, what string) error {
	if len(text) != 2*len(dst) {
		return errors.NotValidf("%s of %d characters", what, len(text))
	}
	if _, err := hex.Decode(dst, text); err != nil {
		return errors.NotValidf("%s", what)
	}
	return nil
}

// Key is a newly issued caller key. Its formatted, logged and JSON forms show
// the public id only; Reveal returns the text for the caller.
type Key struct {
	environment string
	// secret is a pointer because fmt prints the content of unexported
	// fields of a surrounding struct without calling any method; it prints
	// a pointer there as an address.
	secret *[secretBytes]byte
	hash   Hash
}

// Issue makes a key for an environment with 256 bits read from random, which
// must be a cryptographic source such as crypto/rand.Reader.
func Issue(random io.Reader, environment string) (Key, error) {
	if environment == "" || len(environment) > MaxEnvironmentLen || strings.ContainsAny(environment, "_ ") {
		return Key{}, errors.NotValidf("environment %q", environment)
	}
	k := Key{environment: environment, secret: new([secretBytes]byte)}
	if _, err := io.ReadFull(random, k.secret[:]); err != nil {
		return Key{}, errors.Annotate(err, "read randomness for a caller key")
	}
	k.hash = sha256.Sum256(k.secret[:])
	return k, nil
}

// ID returns the key's public id.
func (k Key) ID() ID { return k.hash.ID() }

// Hash returns the hash to store.
func (k Key) Hash() Hash { return k.hash }

// Reveal returns the text form, which holds the secret. It is shown once, to
// the person who hands the key to the caller, and stored nowhere.
func (k Key) Reveal() string {
	body := Prefix + k.environment + "_" + k.ID().String() + "_" + hex.EncodeToString(k.secret[:])
	sum := checksum(body)
	return body + "_" + hex.EncodeToString(sum[:])
}

// redacted is the form of a key in logs, errors and JSON.
func (k Key) redacted() string { return Prefix + k.environment + "_" + k.ID().String() + "_redacted" }

// String returns a form without the secret.
func (k Key) String() string { return k.redacted() }

// Format implements fmt.Formatter; every verb gives the form without the
// secret.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.redacted()) }

// MarshalText returns a form without the secret, for JSON and logs.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.redacted()), nil }

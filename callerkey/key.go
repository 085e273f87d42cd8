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

// Prefix starts the text form of every caller key, so that secret scanners
// recognise leaked keys.
const Prefix = "gwk_"

const (
	secretBytes = 32
	// idBytes is the size of the public id, which is the start of the hash.
	// Among a million keys the probability that two ids collide is 3e-8; on a
	// collision package config refuses both customers.
	idBytes = 8
	// suffixLen is the length of the text after the environment,
	// _<id>_<secret>_<checksum>, with each part in hexadecimal.
	suffixLen = 1 + 2*idBytes + 1 + 2*secretBytes + 1 + 2*crc32.Size
	// MaxEnvironmentLen is the maximum length of an environment name in
	// bytes.
	MaxEnvironmentLen = 32
)

// The reasons for which a key is refused.
const (
	// ErrMissing: the request carries no key.
	ErrMissing = errors.ConstError("caller key missing")
	// ErrMalformed: the text does not have the form of a caller key.
	ErrMalformed = errors.ConstError("caller key malformed")
	// ErrChecksum: the checksum does not match; the key was probably mistyped
	// or truncated.
	ErrChecksum = errors.ConstError("caller key checksum does not match; the key was probably mistyped")
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
	// ErrFreshnessLost: this VM's freshness lease has expired, so that it does
	// not know whether keys were withdrawn in the meantime.
	ErrFreshnessLost = errors.ConstError("configuration freshness lost")
)

// Kind maps a reason to the error kind that is returned to callers. All reasons
// except a missing key and lost freshness have the same kind, so that callers
// cannot learn why a key was refused.
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

// ParseID parses an id in the form that ID.String returns.
func ParseID(s string) (ID, error) {
	var id ID
	return id, id.UnmarshalText([]byte(s))
}

// Hash is the SHA-256 hash of a caller key's secret.
type Hash [sha256.Size]byte

// ID returns the public id of the key with this hash.
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
		return errors.NotValidf("%s with a non-hexadecimal character", what)
	}
	return nil
}

// Key is a newly issued caller key. Its formatted, logged and JSON forms show
// the public id only; Reveal returns the text for the caller.
type Key struct {
	environment string
	// secret is a pointer because fmt calls no methods on unexported fields
	// of a surrounding struct: it would print the bytes of an array, but
	// prints only the address of a pointer.
	secret *[secretBytes]byte
	hash   Hash
}

// Issue generates a key for an environment from 256 bits of random, which must
// be a cryptographically secure source such as crypto/rand.Reader.
func Issue(random io.Reader, environment string) (Key, error) {
	if environment == "" || len(environment) > MaxEnvironmentLen || strings.ContainsAny(environment, "_ ") {
		return Key{}, errors.NotValidf("environment %q (empty, too long, or with an underscore or a space)", environment)
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

// Hash returns the hash of the secret, which is stored in place of the key.
func (k Key) Hash() Hash { return k.hash }

// Reveal returns the text form, which contains the secret. It must be shown only
// once, when the key is issued, and must not be stored.
func (k Key) Reveal() string {
	body := Prefix + k.environment + "_" + k.ID().String() + "_" + hex.EncodeToString(k.secret[:])
	sum := checksum(body)
	return body + "_" + hex.EncodeToString(sum[:])
}

// redacted returns the form of a key in logs, errors and JSON.
func (k Key) redacted() string { return Prefix + k.environment + "_" + k.ID().String() + "_redacted" }

// String returns the redacted form, which omits the secret.
func (k Key) String() string { return k.redacted() }

// Format implements fmt.Formatter. Every verb writes the redacted form.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.redacted()) }

// MarshalText implements encoding.TextMarshaler with the redacted form, which
// is also used in JSON.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.redacted()), nil }

package callerkey

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/topo"
)

var t0 = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func seededRandom(seed uint8) *rand.ChaCha8 { return rand.NewChaCha8([32]byte{seed}) }

func issue(t testing.TB, seed uint8, env string) Key {
	k, err := Issue(seededRandom(seed), env)
	require.NoError(t, err)
	return k
}

func snapshot(t testing.TB, records map[topo.CustomerID][]Record) *Snapshot {
	s, err := NewSnapshot("trial", records)
	require.NoError(t, err)
	return s
}

func record(k Key) Record { return Record{ID: k.ID(), Hash: k.Hash()} }

// Guards against accepting a key outside its validity, after its withdrawal, for
// another customer or in another environment.
func TestVerify(t *testing.T) {
	old, next, withdrawn, otherEnvironment := issue(t, 1, "trial"), issue(t, 2, "trial"), issue(t, 3, "trial"), issue(t, 4, "production")
	oldRecord, nextRecord, withdrawnRecord := record(old), record(next), record(withdrawn)
	oldRecord.NotAfter = t0.Add(time.Hour)
	nextRecord.NotBefore = t0
	withdrawnRecord.Withdrawn = t0.Add(time.Hour) // the clock of this VM may lag
	s := snapshot(t, map[topo.CustomerID][]Record{"c1": {oldRecord, nextRecord}, "c2": {withdrawnRecord, record(otherEnvironment)}})
	require.Equal(t, 4, s.Len())
	for _, c := range []struct {
		name string
		key  string
		at   time.Duration
		want error
	}{
		{"old key alone", old.Reveal(), -time.Second, nil},
		{"next key too early", next.Reveal(), -time.Nanosecond, ErrNotYetValid},
		{"overlap, old", old.Reveal(), 0, nil},
		{"overlap, next", next.Reveal(), 0, nil},
		{"old key at its end", old.Reveal(), time.Hour, ErrExpired},
		{"next key alone", next.Reveal(), time.Hour, nil},
		{"withdrawn", withdrawn.Reveal(), 0, ErrWithdrawn},
		{"other environment", otherEnvironment.Reveal(), 0, ErrEnvironment},
		{"unknown", issue(t, 5, "trial").Reveal(), 0, ErrUnknown},
		{"missing", "", 0, ErrMissing},
		{"other form", "Basic abc", 0, ErrMalformed},
		{"cut off", old.Reveal()[:80], 0, ErrMalformed},
	} {
		identity, err := s.Verify(c.key, t0.Add(c.at))
		require.Equal(t, c.want, err, c.name)
		if err == nil {
			require.Equal(t, topo.CustomerID("c1"), identity.Customer, c.name)
			require.NoError(t, s.Confirm(identity, t0.Add(c.at)))
		} else {
			require.Zero(t, identity)
		}
	}
}

// Guards against accepting an altered key, and against reporting a typing error
// as an unknown key.
func TestEveryChangedCharacterIsRefused(t *testing.T) {
	k := issue(t, 1, "trial")
	s := snapshot(t, map[topo.CustomerID][]Record{"c": {record(k)}})
	text := k.Reveal()
	for i := range text {
		for _, c := range []byte("0fF_x") {
			if text[i] == c {
				continue
			}
			changed := text[:i] + string(c) + text[i+1:]
			_, err := s.Verify(changed, t0)
			require.Contains(t, []error{ErrMalformed, ErrChecksum}, err, changed)
		}
	}
}

// Guards against a checksum that differs from the standard library's CRC-32C.
func TestChecksum(t *testing.T) {
	want := crc32.Checksum([]byte("gwk_trial"), crc32.MakeTable(crc32.Castagnoli))
	got := checksum("gwk_trial")
	require.Equal(t, want, binary.BigEndian.Uint32(got[:]))
}

// Guards against accepting a known id with a wrong secret, for which anyone can
// compute a matching checksum.
func TestIDWithoutSecret(t *testing.T) {
	k, other := issue(t, 1, "trial"), issue(t, 2, "trial")
	s := snapshot(t, map[topo.CustomerID][]Record{"c": {record(k)}})
	other.hash = k.hash // known id, wrong secret
	_, err := s.Verify(other.Reveal(), t0)
	require.Equal(t, ErrUnknown, err)
}

// Guards against accepting records that map one key to two customers, or that no
// key can match, and against issuing a key from insufficient randomness or for an
// invalid environment.
func TestInvalidInput(t *testing.T) {
	k := record(issue(t, 1, "trial"))
	_, err := NewSnapshot("trial", map[topo.CustomerID][]Record{"a": {k}, "b": {k}})
	require.ErrorContains(t, err, "already exists")
	wrong := k
	wrong.ID[0]++
	_, err = NewSnapshot("trial", map[topo.CustomerID][]Record{"a": {wrong}})
	require.ErrorContains(t, err, "id does not match its hash")
	wrong = k
	wrong.NotBefore, wrong.NotAfter = t0, t0
	require.ErrorContains(t, wrong.Validate(), "ends before it begins")
	_, err = Issue(strings.NewReader("too short"), "trial")
	require.ErrorContains(t, err, "read randomness")
	_, err = Issue(seededRandom(1), "a_b")
	require.ErrorContains(t, err, "environment")
}

// Guards against a secret that appears in a log, an error or JSON, whatever
// formatting verb is used.
func TestSecretNeverShown(t *testing.T) {
	k := issue(t, 1, "trial")
	secret := hex.EncodeToString(k.secret[:])
	require.Contains(t, k.Reveal(), secret)
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().Stringer("a", k).Interface("b", k).Any("c", &k).Str("d", fmt.Sprintf("%v %+v %#v %s %q %d %x", k, k, k, k, k, k, k)).Msg(k.String())
	log.Err(fmt.Errorf("bad key: %v", k)).Msg("")
	holder := struct {
		K  Key
		P  *Key
		In map[string]any
	}{k, &k, map[string]any{"k": k}}
	text, err := json.Marshal(holder)
	require.NoError(t, err)
	out.Write(text)
	hidden := struct{ k Key }{k}
	fmt.Fprintf(&out, "%v %+v %#v %v %+v %#v", holder, holder, holder, hidden, hidden, hidden)
	stored, err := json.Marshal(record(k))
	require.NoError(t, err)
	out.Write(stored)
	s := snapshot(t, nil)
	for _, text := range []string{k.Reveal(), k.Reveal() + "0", k.Reveal()[:90], strings.ToUpper(k.Reveal())} {
		_, err := s.Verify(text, t0)
		fmt.Fprintln(&out, err, errkind.Wrap(err, Kind(err), "caller key refused"))
	}
	out.WriteString(Redact("x " + k.Reveal() + " " + Prefix + secret + " y"))
	require.Contains(t, out.String(), k.ID().String())
	lower := strings.ToLower(out.String())
	for n := 0; n+12 <= len(secret); n++ {
		require.NotContains(t, lower, secret[n:n+12])
	}
	require.NotContains(t, lower, fmt.Sprint(k.secret[:4])[1:10], "the secret's bytes appear in decimal form")
}

// Guards against a stored record that decodes to a different record.
func TestRecordJSON(t *testing.T) {
	r := record(issue(t, 1, "trial"))
	r.NotBefore, r.NotAfter, r.Withdrawn, r.WithdrawnBy, r.Note = t0, t0.Add(time.Hour), t0, "ana", "rotation"
	text, err := json.Marshal(r)
	require.NoError(t, err)
	var decoded Record
	require.NoError(t, json.Unmarshal(text, &decoded))
	require.Equal(t, r, decoded)
	require.Error(t, json.Unmarshal([]byte(`{"id":"zz"}`), &decoded))
	require.Error(t, json.Unmarshal([]byte(`{"id":"zzzzzzzzzzzzzzzz"}`), &decoded))
}

// Guards against an error kind that tells callers why a key was refused, and
// against reporting an expired freshness lease as an invalid key.
func TestKinds(t *testing.T) {
	for err, want := range map[error]errkind.Kind{
		ErrMissing: errkind.CallerKeyMissing, ErrFreshnessLost: errkind.FreshnessLost, ErrWithdrawn: errkind.CallerKeyInvalid,
		ErrUnknown: errkind.CallerKeyInvalid, errors.New("x"): errkind.CallerKeyInvalid,
	} {
		require.Equal(t, want, Kind(err))
	}
}

// Guards against a VM that accepts keys before it has applied the current
// revision, or after its lease has expired.
func TestFreshness(t *testing.T) {
	f := NewFreshness(t0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, f.Valid(t0), "no attestation yet")
	f.MarkApplied(5)
	f.Renew(at(0), FreshnessTTL, 5)
	require.True(t, f.Valid(at(1799)))
	require.False(t, f.Valid(at(1800)))
	f.Renew(at(400), FreshnessTTL, 7) // 7 is not applied yet
	f.Renew(at(800), FreshnessTTL, 8)
	require.False(t, f.Valid(at(1800)), "an attestation of a revision that is not applied must not extend the lease")
	f.MarkApplied(7)
	require.True(t, f.Valid(at(2199)))
	require.False(t, f.Valid(at(2200)), "8 is not applied yet")
	f.MarkApplied(8)
	require.True(t, f.Valid(at(2599)))
	f.Renew(at(100), FreshnessTTL, 8) // late response to an early heartbeat
	require.True(t, f.Valid(at(2599)))
	require.Equal(t, 600*time.Millisecond, f.Remaining(at(2000)))
	f.Renew(at(900), time.Hour, 8)
	require.False(t, f.Valid(at(2700)), "no response may extend the lease beyond FreshnessTTL")
	f.Renew(at(1000), 0, 8)
	require.False(t, f.Valid(at(2700)), "a response with a TTL of 0 must not extend the lease")
	f.MarkApplied(3)
	require.True(t, f.Valid(at(2699)))
}

// Guards against unbounded memory use when changes arrive faster than they are
// applied.
func TestFreshnessPendingIsBounded(t *testing.T) {
	f := NewFreshness(t0)
	for i := range 100 {
		f.Renew(t0.Add(time.Duration(i)), FreshnessTTL, topo.Revision(i+1))
	}
	require.Len(t, f.pending, maxPendingAttestations)
	f.MarkApplied(100)
	require.Empty(t, f.pending)
	require.True(t, f.Valid(t0.Add(FreshnessTTL)))
}

// Guards against running a queued request whose key was withdrawn, or whose
// VM's lease expired, after the verification.
func TestConfirmRechecksKeyAndLease(t *testing.T) {
	k := issue(t, 1, "trial")
	f := NewFreshness(t0)
	v := NewVerifier(f)
	_, err := v.Verify(k.Reveal(), t0)
	require.Equal(t, ErrFreshnessLost, err)
	v.Set(snapshot(t, map[topo.CustomerID][]Record{"c": {record(k)}}))
	f.MarkApplied(1)
	f.Renew(t0, FreshnessTTL, 1)
	identity, err := v.Verify(k.Reveal(), t0)
	require.NoError(t, err)
	require.NoError(t, v.Confirm(identity, t0))
	require.Equal(t, ErrFreshnessLost, v.Confirm(identity, t0.Add(FreshnessTTL)))
	withdrawn := record(k)
	withdrawn.Withdrawn = t0
	v.Set(snapshot(t, map[topo.CustomerID][]Record{"c": {withdrawn}}))
	require.Equal(t, ErrWithdrawn, v.Confirm(identity, t0))
	v.Set(snapshot(t, map[topo.CustomerID][]Record{"d": {record(k)}}))
	require.Equal(t, ErrUnknown, v.Confirm(identity, t0), "the key now belongs to another customer")
}

// Guards against allocations in the verification of each request.
func TestVerifyAllocatesNothing(t *testing.T) {
	v, text, now := verifier(t)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		identity, err := v.Verify(text, now)
		if err != nil || v.Confirm(identity, now) != nil {
			panic("not verified")
		}
	}))
	wrong := text[:len(text)-1] + "x"
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = v.Verify(wrong, now) }))
}

func verifier(t testing.TB) (*Verifier, string, time.Time) {
	records := map[topo.CustomerID][]Record{}
	r := seededRandom(9)
	var last Key
	for i := range 1000 {
		last, _ = Issue(r, "production")
		id := topo.CustomerID(fmt.Sprintf("c%d", i%8))
		records[id] = append(records[id], record(last))
	}
	s, err := NewSnapshot("production", records)
	require.NoError(t, err)
	now := time.Now()
	f := NewFreshness(now)
	f.MarkApplied(1)
	f.Renew(now, FreshnessTTL, 1)
	v := NewVerifier(f)
	v.Set(s)
	return v, last.Reveal(), now
}

func BenchmarkVerify(b *testing.B) {
	v, text, now := verifier(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.Verify(text, now); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkVerifyParallel(b *testing.B) {
	v, text, now := verifier(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := v.Verify(text, now); err != nil {
				panic(err)
			}
		}
	})
}

func BenchmarkConfirm(b *testing.B) {
	v, text, now := verifier(b)
	identity, err := v.Verify(text, now)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if err := v.Confirm(identity, now); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a parser that panics or accepts any text except the exact text
// form of an issued key.
func FuzzVerify(f *testing.F) {
	k := issue(f, 1, "trial")
	s := snapshot(f, map[topo.CustomerID][]Record{"c": {record(k)}})
	f.Add(k.Reveal())
	f.Add(issue(f, 2, "trial").Reveal())
	f.Add("gwk_")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := s.Verify(text, t0)
		require.Equal(t, text == k.Reveal(), err == nil)
	})
}

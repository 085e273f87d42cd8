package operate

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/store"
)

// MaxHistoryVersions is the maximum number of replaced document versions that are
// kept for Rollback. They take at most 50 MB in the store.
const MaxHistoryVersions = 50

// maxEvidenceBytes bounds the evidence text of a proof.
const maxEvidenceBytes = 64 << 10

// Proof records whether a version of a document passed its tests, with evidence.
type Proof struct {
	Version uint64 `json:"version"`
	// Digest is the SHA-256 hash of the document in hexadecimal.
	Digest   string    `json:"digest"`
	Passed   bool      `json:"passed"`
	Evidence string    `json:"evidence"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
}

// Digest returns the SHA-256 hash of a document in hexadecimal.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Apply stores a document as the environment's current one. Base is the version
// that it replaces, 0 for the first document. File is the document's file name in
// error messages.
func (o *Operator) Apply(ctx context.Context, file string, document []byte, base uint64, reason string) (Receipt, error) {
	return o.run(ctx, action{name: "apply", target: "document", reason: reason}, func(ctx context.Context) (change, error) {
		obj, err := o.getAtBase(ctx, config.DocumentKey(o.Env), base)
		if err != nil {
			return change{base: base}, err
		}
		return o.prepareReplacement(ctx, file, document, obj)
	})
}

// prepareReplacement validates a document together with the environment's own part
// (config.Local), archives the version that it replaces, and returns the change.
func (o *Operator) prepareReplacement(ctx context.Context, file string, document []byte, old store.Object) (change, error) {
	ch := change{key: config.DocumentKey(o.Env), value: document, base: old.Version, detail: "sha256 " + Digest(document)}
	if old.Version > 0 && bytes.Equal(old.Value, document) {
		return ch, refusef(ErrNoChange, "version %d by %s is the same document", old.Version, old.Writer)
	}
	local, err := o.getAtBase(ctx, config.LocalKey(o.Env), AnyBase)
	if err != nil {
		return ch, err
	}
	if err := checkMerged(file, document, local); err != nil {
		return ch, invalidInput(err)
	}
	return ch, o.archiveReplaced(ctx, old)
}

// checkMerged validates a document merged with an environment's own part.
func checkMerged(file string, document []byte, local store.Object) error {
	doc, err := config.ParseDocument(file, document)
	if err != nil {
		return err
	}
	var parsed *config.Local
	if local.Version > 0 {
		if parsed, err = config.ParseLocal(local.Key, local.Value); err != nil {
			return err
		}
	}
	_, err = config.Merge(file, doc, parsed)
	return err
}

// archiveReplaced copies a document to its history key before it is replaced. A
// conflict is not an error: the copy of a version never changes, so an existing
// copy has the same content.
func (o *Operator) archiveReplaced(ctx context.Context, old store.Object) error {
	if old.Version == 0 {
		return nil
	}
	writer, err := o.newWriter()
	if err != nil {
		return err
	}
	_, err = o.Store.Put(ctx, config.HistoryKey(o.Env, old.Version), old.Value, store.MustNotExist, writer)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return errors.Annotate(err, "archive the replaced document")
	}
	if old.Version > MaxHistoryVersions {
		o.deleteHistory(ctx, old.Version-MaxHistoryVersions)
	}
	return nil
}

// deleteHistory deletes the archived copy of a version. It ignores errors, since a
// copy that remains only takes up space.
func (o *Operator) deleteHistory(ctx context.Context, version uint64) {
	if obj, err := o.Store.Get(ctx, config.HistoryKey(o.Env, version)); err == nil {
		_ = o.Store.Delete(ctx, obj.Key, obj.Version, o.OperatorName+"/history")
	}
}

// ApplyLocal stores the environment's own part of the configuration
// (config.Local), which promotion never changes. Base is the version that it
// replaces, 0 for the first one. File is the file name in error messages.
func (o *Operator) ApplyLocal(ctx context.Context, file string, data []byte, base uint64, reason string) (Receipt, error) {
	return o.run(ctx, action{name: "apply-local", target: "local", reason: reason}, func(ctx context.Context) (change, error) {
		ch := change{key: config.LocalKey(o.Env), value: data, base: base, detail: "sha256 " + Digest(data)}
		obj, err := o.getAtBase(ctx, ch.key, base)
		if err != nil {
			return ch, err
		}
		ch.base = obj.Version
		if _, err := config.ParseLocal(file, data); err != nil {
			return ch, invalidInput(err)
		}
		doc, err := o.getAtBase(ctx, config.DocumentKey(o.Env), AnyBase)
		if err != nil {
			return ch, err
		}
		if doc.Version > 0 {
			if err := checkMerged(doc.Key, doc.Value, store.Object{Key: file, Value: data, Version: 1}); err != nil {
				return ch, invalidInput(err)
			}
		}
		return ch, nil
	})
}

// Prove records whether the environment's document passed its tests, with
// evidence of 1 byte to 64 KiB. The version must be the current one. A later proof
// of the same version replaces an earlier one.
func (o *Operator) Prove(ctx context.Context, version uint64, passed bool, evidence string) (Receipt, error) {
	return o.run(ctx, action{name: "prove", target: "document", reason: evidence}, func(ctx context.Context) (change, error) {
		ch := change{key: config.ProofKey(o.Env, version)}
		if version == AnyBase {
			return ch, refusef(ErrInvalid, "a proof must name a document version")
		}
		if evidence == "" || len(evidence) > maxEvidenceBytes {
			return ch, refusef(ErrInvalid, "evidence must have 1 to %d bytes, got %d", maxEvidenceBytes, len(evidence))
		}
		doc, err := o.getAtBase(ctx, config.DocumentKey(o.Env), version)
		if err != nil {
			return ch, err
		}
		if doc.Version == 0 {
			return ch, refusef(ErrUnknownName, "%s has no document", o.Env)
		}
		old, err := o.getAtBase(ctx, ch.key, AnyBase)
		if err != nil {
			return ch, err
		}
		ch.base = old.Version
		p := Proof{Version: version, Digest: Digest(doc.Value), Passed: passed, Evidence: evidence, By: o.OperatorName, At: o.Now().UTC()}
		ch.detail = fmt.Sprintf("version %d, sha256 %s, passed: %t", version, p.Digest, passed)
		ch.value, err = json.Marshal(p)
		return ch, err
	})
}

// Promotion specifies which document version to promote and onto which version.
type Promotion struct {
	// From is the source environment, such as trial.
	From string
	// Version is the version of the source's document. It must be the current
	// version of the source and must have a passed proof.
	Version uint64
	// Base is the version of the target's document that is replaced, or AnyBase.
	Base uint64
	// Force permits a version without a passed proof. It requires a reason.
	Force  bool
	Reason string
}

// Promote copies one proven version of the source's document into the operator's
// environment. The environment's own part is unchanged.
func (o *Operator) Promote(ctx context.Context, p Promotion) (Receipt, error) {
	return o.run(ctx, action{name: "promote", target: "document", reason: p.Reason, forced: p.Force}, func(ctx context.Context) (change, error) {
		if p.From == o.Env || !config.ValidName(p.From) || p.Version == AnyBase {
			return change{}, refusef(ErrInvalid, "cannot promote version %d from %q to %q", p.Version, p.From, o.Env)
		}
		if p.Force && p.Reason == "" {
			return change{}, refusef(ErrInvalid, "a forced promotion needs a reason")
		}
		source, err := o.getAtBase(ctx, config.DocumentKey(p.From), p.Version)
		if err != nil {
			return change{}, err
		}
		if source.Version == 0 {
			return change{}, refusef(ErrUnknownName, "%s has no document", p.From)
		}
		proof, err := o.checkProof(ctx, p, source)
		if err != nil && !(p.Force && errors.Is(err, ErrNotProven)) {
			return change{}, err
		}
		old, err := o.getAtBase(ctx, config.DocumentKey(o.Env), p.Base)
		if err != nil {
			return change{base: p.Base}, err
		}
		ch, err := o.prepareReplacement(ctx, fmt.Sprintf("%s version %d", source.Key, p.Version), source.Value, old)
		ch.detail = fmt.Sprintf("from %s version %d, %s, %s", p.From, p.Version, ch.detail, proof)
		return ch, err
	})
}

// checkProof returns a description of the proof of the source's document, and an
// error if the document is not proven or the proof cannot be read.
func (o *Operator) checkProof(ctx context.Context, p Promotion, source store.Object) (string, error) {
	const unproven = "not proven, forced"
	obj, err := o.getAtBase(ctx, config.ProofKey(p.From, p.Version), AnyBase)
	if err != nil {
		return unproven, err
	}
	if obj.Version == 0 {
		return unproven, refusef(ErrNotProven, "%s version %d has no proof", p.From, p.Version)
	}
	var proof Proof
	if err := json.Unmarshal(obj.Value, &proof); err != nil {
		return unproven, refusef(ErrNotProven, "the proof of %s version %d cannot be read: %s", p.From, p.Version, err)
	}
	if proof.Digest != Digest(source.Value) || proof.Version != p.Version {
		return unproven, refusef(ErrNotProven, "the proof of %s version %d is of another document", p.From, p.Version)
	}
	if !proof.Passed {
		return unproven, refusef(ErrNotProven, "the proof of %s version %d by %s failed", p.From, p.Version, proof.By)
	}
	return "proven by " + proof.By, nil
}

// Rollback stores the content of a replaced version of the document as a new
// version. Base is the current version that it replaces, or AnyBase.
func (o *Operator) Rollback(ctx context.Context, version, base uint64, reason string) (Receipt, error) {
	return o.run(ctx, action{name: "rollback", target: "document", reason: reason}, func(ctx context.Context) (change, error) {
		old, err := o.getAtBase(ctx, config.DocumentKey(o.Env), base)
		if err != nil {
			return change{base: base}, err
		}
		archived, err := o.getAtBase(ctx, config.HistoryKey(o.Env, version), AnyBase)
		if err != nil {
			return change{base: old.Version}, err
		}
		if archived.Version == 0 {
			return change{base: old.Version}, refusef(ErrUnknownName, "no copy of version %d is kept; only the last %d replaced versions are kept", version, MaxHistoryVersions)
		}
		ch, err := o.prepareReplacement(ctx, fmt.Sprintf("document version %d", version), archived.Value, old)
		ch.detail = fmt.Sprintf("to version %d, %s", version, ch.detail)
		return ch, err
	})
}

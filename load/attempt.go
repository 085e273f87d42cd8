package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
)

// attempt sends one request and returns what the caller saw.
func (r *runner) attempt(ctx context.Context, intended time.Time, j scheduledRequest, target string) Record {
	rec := Record{ID: j.id, Kind: j.kind, Customer: j.customer.ID, Key: j.key, Intended: intended}
	req, err := r.request(ctx, j, target)
	if err != nil {
		rec.Sent, rec.Done, rec.Unsent, rec.TransportError = time.Now(), time.Now(), true, err.Error()
		return rec
	}
	rec.IdempotencyKey = req.Header.Get(call.HeaderIdempotencyKey)
	rec.Sent = time.Now()
	resp, err := r.client.Do(req)
	if err == nil {
		rec.readHead(resp)
		err = rec.readBody(resp.Body, j.kind)
		_ = resp.Body.Close()
	}
	rec.Done = time.Now()
	if err != nil {
		rec.TransportError, rec.TimedOut = err.Error(), timedOut(err)
	}
	return rec
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (r *runner) request(ctx context.Context, j scheduledRequest, target string) (*http.Request, error) {
	path := j.kind.Path
	if strings.Contains(path, "%s") {
		path = fmt.Sprintf(path, j.key)
	}
	if j.kind.ResponseBytes > 0 {
		path += fmt.Sprintf("?bytes=%d", j.kind.ResponseBytes)
	}
	var body io.Reader
	if j.kind.BodyBytes > 0 {
		body = bytes.NewReader(bytes.Repeat([]byte{'x'}, int(j.kind.BodyBytes)))
	}
	req, err := http.NewRequestWithContext(ctx, j.kind.Method, target+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	disableTransportRetry(req, body)
	h := req.Header
	h.Set(call.HeaderAuthorization, "Bearer "+j.customer.CallerKey)
	h.Set(call.HeaderRequestID, j.id)
	h.Set(HeaderID, j.id)
	h.Set("Key", j.key)
	if j.kind.KeyHeader != "" {
		h.Set(j.kind.KeyHeader, j.key)
	}
	if j.kind.ExactlyOnce {
		h.Set(call.HeaderIdempotencyKey, j.idempotencyKey)
	}
	return req, nil
}

// disableTransportRetry keeps net/http from resending a request by itself when
// the connection ends without a response. Both copies would have the same id,
// so that a correct refusal of the second would look like a false refusal of
// the first, and a request that was cut off would not be noticed. net/http does
// not resend a request whose body cannot be rewound.
func disableTransportRetry(req *http.Request, body io.Reader) {
	req.GetBody = nil
	if body == nil {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

func newIdempotencyKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		// No key can be generated without randomness; the request will be
		// refused.
		return ""
	}
	return id.String()
}

func (rec *Record) readHead(resp *http.Response) {
	rec.Status = resp.StatusCode
	rec.Error, rec.Outcome = resp.Header.Get(call.HeaderError), resp.Header.Get(call.HeaderOutcome)
	rec.EchoedID = resp.Header.Get(call.HeaderRequestID)
}

// maxKeyPrefixBytes is the length of the prefix of a response body that is
// searched for the key.
const maxKeyPrefixBytes = 512

// readBody reads the body to its end. The stand-ins respond with
// {"key":...,"count":...}, repeated up to the requested length.
func (rec *Record) readBody(body io.Reader, kind *Kind) error {
	head, err := io.ReadAll(io.LimitReader(body, maxKeyPrefixBytes))
	rec.ResponseBytes = int64(len(head))
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, body)
	rec.ResponseBytes += n
	if err != nil {
		return err
	}
	var response struct {
		Key string `json:"key"`
	}
	if json.NewDecoder(bytes.NewReader(head)).Decode(&response) == nil {
		rec.ResponseKey = response.Key
	}
	rec.LengthMatches = kind.ResponseBytes == 0 || rec.ResponseBytes == kind.ResponseBytes
	return nil
}

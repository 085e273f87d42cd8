package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/topo"
)

// The header names of the object API.
const (
	HeaderIfVersion = "If-Version"
	HeaderVersion   = "Object-Version"
	HeaderWriter    = "Object-Writer"
	HeaderRevision  = "Store-Revision"
)

// maxResponseBytes is the largest response that the client accepts. Lists and
// watches have the largest responses.
const maxResponseBytes = 32 << 20

// WireObject is the JSON form of an object or event in responses to list and
// watch calls.
type WireObject struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value,omitempty"`
	Version  uint64        `json:"version"`
	Revision topo.Revision `json:"revision"`
	Writer   string        `json:"writer"`
	Deleted  bool          `json:"deleted,omitempty"`
}

// WireListing is the JSON response to a list call.
type WireListing struct {
	Objects  []WireObject  `json:"objects"`
	Revision topo.Revision `json:"revision"`
}

// WireChanges is the JSON response to a watch call.
type WireChanges struct {
	Events   []WireObject  `json:"events"`
	Revision topo.Revision `json:"revision"`
}

// WireVMs is the JSON response to a call that lists the VMs.
type WireVMs struct {
	VMs []VMState `json:"vms"`
}

// Client is a Store that calls the object API over HTTP. It sends each call
// once and never retries.
type Client struct {
	base string
	http *http.Client
}

// NewTransport returns the transport of a client of the object API.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         httphead.Dial(new(net.Dialer).DialContext),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: readlimit.ResponseHeadBytes,
	}
}

// NewClient returns a client of the object API at baseURL, for example
// "http://127.0.0.1:7000". Deadlines come from the context of each call. If hc
// has a Timeout, it must exceed the longest wait of Watch. If hc is nil, the
// client uses a transport of its own.
func NewClient(baseURL string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Transport: NewTransport()}
	}
	return &Client{base: strings.TrimRight(baseURL, "/"), http: hc}
}

// ValidateKey returns a NotValid error for a key that cannot be part of a URL
// path, because it is empty or has an empty, "." or ".." segment.
func ValidateKey(key string) error {
	for seg := range strings.SplitSeq(key, "/") {
		if seg == "" || seg == "." || seg == ".." {
			return errors.NotValidf("object key %q", key)
		}
	}
	return nil
}

func objectPath(key string) (string, error) {
	if err := ValidateKey(key); err != nil {
		return "", err
	}
	segs := strings.Split(key, "/")
	for i, s := range segs {
		segs[i] = url.PathEscape(s)
	}
	return "/v1/objects/" + strings.Join(segs, "/"), nil
}

// do sends one request and reads the whole response. For a status other than
// 200 it returns both the response and the matching error.
func (c *Client) do(ctx context.Context, method, path string, body []byte, hdr http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(httphead.WithTrace(ctx), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.NewNotValid(err, "store request")
	}
	if method == http.MethodPut || method == http.MethodDelete {
		// Without GetBody the transport cannot repeat a write on a new
		// connection after the first connection broke.
		req.GetBody = nil
	}
	for k, v := range hdr {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, transportError(ctx, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, nil, transportError(ctx, err)
	}
	if len(data) > maxResponseBytes {
		return nil, nil, fmt.Errorf("%w: response larger than %d bytes", ErrUnavailable, maxResponseBytes)
	}
	return resp, data, statusError(resp.StatusCode)
}

func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest:
		return errors.NotValidf("store request")
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrThrottled
	}
	return fmt.Errorf("%w: unexpected HTTP status %d", ErrUnavailable, code)
}

// objectFromHeader returns an object with the version, writer and revision
// from the response headers, and without a value.
func objectFromHeader(key string, h http.Header) (Object, error) {
	version, err := strconv.ParseUint(h.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("%w: response header %s is not an unsigned integer: %q", ErrUnavailable, HeaderVersion, h.Get(HeaderVersion))
	}
	rev, err := strconv.ParseUint(h.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("%w: response header %s is not an unsigned integer: %q", ErrUnavailable, HeaderRevision, h.Get(HeaderRevision))
	}
	return Object{Key: key, Version: version, Revision: topo.Revision(rev), Writer: h.Get(HeaderWriter)}, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	path, err := objectPath(key)
	if err != nil {
		return Object{}, err
	}
	resp, data, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return Object{}, err
	}
	obj, err := objectFromHeader(key, resp.Header)
	if err != nil {
		return Object{}, err
	}
	obj.Value = data
	return obj, nil
}

// Put implements Store. With ErrConflict it returns the current object without
// its value.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64, writer string) (Object, error) {
	obj, err := c.write(ctx, http.MethodPut, key, value, ifVersion, writer)
	if err == nil {
		obj.Value = value
	}
	return obj, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64, writer string) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, ifVersion, writer)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, value []byte, ifVersion uint64, writer string) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	path, err := objectPath(key)
	if err != nil {
		return Object{}, err
	}
	hdr := http.Header{
		HeaderIfVersion: {strconv.FormatUint(ifVersion, 10)},
		HeaderWriter:    {writer},
	}
	resp, _, err := c.do(ctx, method, path, value, hdr)
	if err != nil && !errors.Is(err, ErrConflict) {
		return Object{}, err
	}
	obj, herr := objectFromHeader(key, resp.Header)
	if err == nil {
		return obj, herr
	}
	return obj, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var wire WireListing
	if err := c.getJSON(ctx, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode(), &wire); err != nil {
		return Listing{}, err
	}
	l := Listing{Revision: wire.Revision}
	for _, w := range wire.Objects {
		l.Objects = append(l.Objects, w.object())
	}
	return l, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after topo.Revision, wait time.Duration) (Changes, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var wire WireChanges
	if err := c.getJSON(ctx, "/v1/watch?"+q.Encode(), &wire); err != nil {
		return Changes{}, err
	}
	ch := Changes{Revision: wire.Revision}
	for _, w := range wire.Events {
		ch.Events = append(ch.Events, Event{Object: w.object(), Deleted: w.Deleted})
	}
	return ch, nil
}

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VMState, error) {
	var wire WireVMs
	if err := c.getJSON(ctx, "/v1/vms", &wire); err != nil {
		return nil, err
	}
	return wire.VMs, nil
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	_, data, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrUnavailable, err)
	}
	return nil
}

func (w WireObject) object() Object {
	return Object{Key: w.Key, Value: w.Value, Version: w.Version, Revision: w.Revision, Writer: w.Writer}
}

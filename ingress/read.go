package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/membudget"
)

// readRequest reads a request and its body. A non-nil Response rejects the
// request and is the last one of the connection; an error without a Response
// means that the caller has disconnected.
func (c *conn) readRequest(limits Limits) (req *Request, held memory, refusal *Response, err error) {
	defer func() {
		if c.evictedForMemory.Load() && (err != nil || refusal != nil) {
			refusal = overloaded()
		}
		if refusal != nil || err != nil {
			c.release(&pendingResponse{memory: held})
			held = memory{}
		}
	}()
	hr, refusal, err := c.readHead(limits, &held)
	if refusal != nil || err != nil {
		return nil, held, refusal, err
	}
	req, refusal, err = c.readRest(hr, limits, &held)
	return req, held, refusal, err
}

// readHead reads and parses a head.
func (c *conn) readHead(limits Limits, held *memory) (*http.Request, *Response, error) {
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limited.SetLimit(int64(limits.HeaderBytes + headerSlackBytes))
	defer c.limited.Unlimit()
	c.errs.last = nil
	size, lines, refusal, err := c.awaitHead(limits)
	if err != nil {
		return nil, parseErrorResponse(err), err
	}
	if refusal != nil {
		return nil, refusal, nil
	}
	if most := c.callers.Fields; most > 0 && lines > most+2 {
		// The request line and the empty line are no fields.
		return nil, statusResponse(http.StatusRequestHeaderFieldsTooLarge), nil
	}
	cost := membudget.HeadBytes(size, lines) + requestBytes
	if !c.take(membudget.Heads, c.classOfNext(), cost) {
		return nil, overloaded(), nil
	}
	held[membudget.Heads] += cost
	hr, err := http.ReadRequest(c.br)
	if err != nil && c.errs.last != nil {
		err = c.errs.last
	}
	if err != nil {
		return nil, parseErrorResponse(err), err
	}
	return hr, nil, nil
}

// readRest checks a parsed head and reads the body.
func (c *conn) readRest(hr *http.Request, limits Limits, held *memory) (*Request, *Response, error) {
	req, refusal := c.newRequest(hr)
	if refusal != nil {
		return nil, refusal, nil
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, statusResponse(http.StatusRequestEntityTooLarge), nil
	}
	if strings.EqualFold(hr.Header.Get("Expect"), "100-continue") && c.state.owed() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	return c.readBody(req, hr, limits, held)
}

// parseErrorResponse returns the response to a request that could not be read,
// or nil when the caller has disconnected.
func parseErrorResponse(err error) *Response {
	var netErr net.Error
	switch {
	case errors.Is(err, readlimit.ErrExceeded):
		return statusResponse(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return statusResponse(http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil
	}
	return statusResponse(http.StatusBadRequest)
}

// newRequest returns the Request of a parsed head, or a Response that rejects
// it.
func (c *conn) newRequest(hr *http.Request) (*Request, *Response) {
	h := &c.srv.headers
	if hr.ProtoMajor != 1 || hr.Host == "" || hr.URL.Path == "" || hr.URL.Path[0] != '/' || hr.URL.IsAbs() {
		return nil, statusResponse(http.StatusBadRequest)
	}
	for name, values := range hr.Header {
		// net/http accepts names that contain a space, which backend servers
		// may read as the name without it.
		if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, invalidValue) {
			return nil, statusResponse(http.StatusBadRequest)
		}
	}
	now := time.Now()
	req := &Request{
		ID: hr.Header.Get(h.RequestID), Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.Path, Host: hr.Host,
		CallerKey: hr.Header.Get(h.CallerKey), Arrived: now,
	}
	if v := hr.Header.Get(h.DeadlineMS); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return nil, statusResponse(http.StatusBadRequest)
		}
		req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := hr.Header.Get(h.Key); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil {
			return nil, statusResponse(http.StatusBadRequest)
		}
		req.Key, req.HasKey = uint16(n), true
	}
	req.Header = hr.Header
	req.Header.Del(h.CallerKey)
	req.Header.Del("Expect")
	req.Header.Del("Content-Length")
	return req, nil
}

func invalidValue(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }

// readBody buffers a body of at most maxBufferedBodyBytes and sets up a stream
// for a longer one.
func (c *conn) readBody(req *Request, hr *http.Request, limits Limits, held *memory) (*Request, *Response, error) {
	c.lastRequest = hr.Close || !hr.ProtoAtLeast(1, 1)
	call.StripHopByHop(req.Header)
	if hr.Body == http.NoBody || hr.ContentLength == 0 {
		return req, nil, nil
	}
	c.setReadDeadline(time.Now().Add(c.callers.BodyTime))
	source := http.MaxBytesReader(nil, hr.Body, limits.BodyBytes)
	if hr.ContentLength > maxBufferedBodyBytes {
		req.Stream, req.Length = newBodyReader(c, source), hr.ContentLength
		return req, nil, nil
	}
	data, err := c.bufferBody(source, hr.ContentLength, held)
	var tooLarge *http.MaxBytesError
	switch {
	case err == errNoMemory:
		return nil, overloaded(), nil
	case errors.As(err, &tooLarge):
		return nil, statusResponse(http.StatusRequestEntityTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, statusResponse(http.StatusRequestTimeout), nil
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil, err
	case err != nil:
		return nil, parseErrorResponse(err), err
	}
	if len(data) <= maxBufferedBodyBytes {
		req.Body = data
		return req, nil, nil
	}
	rest := newBodyReader(c, source)
	req.Stream, req.Length = io.MultiReader(bytes.NewReader(data), rest), hr.ContentLength
	return req, nil, nil
}

// errNoMemory reports a body that does not fit into the memory budget.
var errNoMemory = errors.New("no memory for the body")

// bufferBody reads a body of length bytes, or of unknown length if that is negative, up
// to one byte beyond maxBufferedBodyBytes. The buffer grows with what has arrived.
func (c *conn) bufferBody(source io.Reader, length int64, held *memory) ([]byte, error) {
	most := maxBufferedBodyBytes + 1
	if length >= 0 {
		// One byte more lets the reader see the end of the body.
		most = int(length) + 1
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(most, max(bufferBytes, 2*cap(data)))
			if !c.take(membudget.Bodies, membudget.Begun, int64(size-cap(data))) {
				return nil, errNoMemory
			}
			held[membudget.Bodies] += int64(size - cap(data))
			data = append(make([]byte, 0, size), data...)
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF || len(data) == most {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyReader reads a streamed body with a bound for each read and for its rate. Time for
// which the receiver does not read does not count.
type bodyReader struct {
	c *conn
	r io.Reader
	// began is when the first read may have begun, later by the time between reads.
	began time.Time
	ended time.Time
	read  int64
}

func newBodyReader(c *conn, r io.Reader) *bodyReader {
	c.uploading.Store(true)
	return &bodyReader{c: c, r: r, began: time.Now()}
}

func (b *bodyReader) Read(p []byte) (int, error) {
	now := time.Now()
	if !b.ended.IsZero() {
		b.began = b.began.Add(now.Sub(b.ended))
	}
	until := now.Add(b.c.callers.BodyTime)
	if rated := b.began.Add(b.c.callers.BodyTime + timeFor(b.read, b.c.callers.BodyRate)); rated.Before(until) {
		until = rated
	}
	b.c.setReadDeadline(until)
	n, err := b.r.Read(p)
	b.read += int64(n)
	b.ended = time.Now()
	if err == io.EOF {
		b.c.uploading.Store(false)
	}
	return n, err
}

package server

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// The query parameters of a request to the stand-in are work_ms (how long it
// runs), bytes (size of the response body), chunked=1 (response of unknown
// length), trailer=1 (response with a Checksum trailer) and status.

// coldSlowdown multiplies the service time of requests beyond the capacity of a
// cold server with SlowWhenCold.
const coldSlowdown = 10

// serveRequest runs a request, records the execution and responds.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.awaitResume(r.Context()) {
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	slowdown, refusalStatus := s.acquireSlot(r)
	if refusalStatus != 0 {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(refusalStatus)
		return
	}
	defer s.releaseSlot()
	digest := sha256.New()
	size, err := io.CopyBuffer(digest, r.Body, make([]byte, copyBufferBytes(r)))
	if err != nil {
		http.Error(w, "body is incomplete", http.StatusBadRequest)
		return
	}
	rec := Record{BodyBytes: size, BodySHA256: [32]byte(digest.Sum(nil))}
	index, count := s.begin(r, rec)
	completed := s.simulateWork(r, slowdown)
	s.end(index, !completed)
	s.respond(w, r, completed, count)
}

// copyBufferBytes returns the size of the buffer for the body of r.
func copyBufferBytes(r *http.Request) int64 {
	if r.ContentLength >= 0 {
		return min(r.ContentLength+1, 32<<10)
	}
	return 32 << 10
}

// acquireSlot takes a slot and returns the factor by which the request is
// slowed down. If the request is refused as not run, it returns the status of
// the refusal instead.
func (s *Server) acquireSlot(r *http.Request) (slowdown float64, refusalStatus int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Drain || s.faults.Shed || r.Header.Get("Request-Timeout-Ms") == "0" {
		return 0, http.StatusServiceUnavailable
	}
	if s.opt.ChecksGrants && !s.hasGrant(r.Header.Get("Grant-Fence")) {
		s.stats.WithoutGrant++
		return 0, http.StatusConflict
	}
	slowdown = s.faults.SlowFactor
	if s.running >= s.capacity() {
		s.stats.OverCapacity++
		if !s.opt.SlowWhenCold || s.running >= s.opt.Slots {
			return 0, http.StatusServiceUnavailable
		}
		slowdown *= coldSlowdown
	}
	s.running++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.running)
	return slowdown, 0
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// hasGrant reports whether fence, of the form <slice>/<term>.<seq>, is the
// fence of a slice that the server holds under a lease that has not expired.
// The caller holds mu.
func (s *Server) hasGrant(fence string) bool {
	slice, rest, ok := strings.Cut(fence, "/")
	id, err := strconv.ParseUint(slice, 10, 32)
	if !ok || err != nil {
		return false
	}
	f, err := topo.ParseFence(rest)
	if err != nil {
		return false
	}
	s.dropExpiredLease()
	held, ok := s.lease.slices[topo.SliceID(id)]
	return ok && held == f
}

// capacity returns how many requests the server can run at once at present,
// given its cold start. The caller holds mu.
func (s *Server) capacity() int {
	if s.opt.ColdRequests == 0 && s.opt.ColdTime == 0 {
		return s.opt.Slots
	}
	warmFraction := 0.0
	if s.opt.ColdRequests > 0 {
		warmFraction = float64(s.requestsSinceCold) / float64(s.opt.ColdRequests)
	}
	if s.opt.ColdTime > 0 {
		warmFraction = max(warmFraction, float64(time.Since(s.coldSince))/float64(s.opt.ColdTime))
	}
	return 1 + int(float64(s.opt.Slots-1)*min(warmFraction, 1))
}

// begin records and counts the start of an execution. It returns the index of
// the record, or -1 if there is no room for it, and the number of executions for
// the key.
func (s *Server) begin(r *http.Request, rec Record) (index, count int) {
	h := r.Header
	rec.RequestID, rec.Customer = h.Get("Request-Id"), topo.CustomerID(h.Get("Customer-Id"))
	rec.IdempotencyKey, rec.Fence = h.Get("Idempotency-Key"), h.Get("Grant-Fence")
	rec.TimeoutMS, rec.Key = h.Get("Request-Timeout-Ms"), requestKey(r)
	rec.Header, rec.Trailer = h.Clone(), r.Trailer.Clone()
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.BootID, rec.Start = s.bootID, time.Now()
	s.stats.Executions++
	s.requestsSinceCold++
	s.startTimes = append(s.recentStarts(rec.Start), rec.Start)
	s.executionsByKey[rec.Key]++
	if rec.IdempotencyKey != "" {
		id := string(rec.Customer) + "/" + rec.IdempotencyKey
		if s.executionsByIdempotencyKey[id]++; s.executionsByIdempotencyKey[id] > 1 {
			s.stats.RepeatedExecutions++
		}
	}
	if len(s.records) >= s.opt.MaxRecords {
		s.stats.RecordsDropped++
		return -1, s.executionsByKey[rec.Key]
	}
	s.records = append(s.records, rec)
	return len(s.records) - 1, s.executionsByKey[rec.Key]
}

// end records the end of an execution.
func (s *Server) end(index int, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancelled {
		s.stats.Cancelled++
	}
	if index >= 0 {
		s.records[index].End = time.Now()
		s.records[index].Cancelled = cancelled
	}
}

// requestKey returns the header Key, the query parameter key or the last
// segment of the path, whichever is present first.
func requestKey(r *http.Request) string {
	if k := r.Header.Get("Key"); k != "" {
		return k
	}
	if k := r.URL.Query().Get("key"); k != "" {
		return k
	}
	return path.Base(r.URL.Path)
}

// simulateWork waits for the service time. It returns false if the client
// disconnects or the deadline passes first.
func (s *Server) simulateWork(r *http.Request, slowdown float64) bool {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get("Request-Timeout-Ms"), 10, 64); err == nil && !s.opt.IgnoresDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	serviceTime := s.opt.ServiceTime
	if ms := intParam(r.URL.Query(), "work_ms"); ms > 0 {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	if serviceTime > 0 {
		t := time.NewTimer(time.Duration(float64(serviceTime) * slowdown))
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return s.awaitResume(ctx) && ctx.Err() == nil
}

func intParam(q url.Values, name string) int64 {
	n, _ := strconv.ParseInt(q.Get(name), 10, 64)
	return n
}

// respond writes the response and applies the faults that are switched on.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, completed bool, count int) {
	if s.consumeFault(&s.faults.LoseResponse) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(&s.faults.CrossResponse) {
		w.Header().Set("Request-Id", s.earlierID())
	}
	s.setLastID(r.Header.Get("Request-Id"))
	if !completed {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	q := r.URL.Query()
	body := fmt.Sprintf(`{"key":%q,"count":%d}`, requestKey(r), count)
	size := int64(len(body))
	if n := intParam(q, "bytes"); n > 0 {
		size = n
	}
	w.Header().Set("Effect-Count", strconv.Itoa(count))
	if q.Get("trailer") == "1" {
		w.Header().Set("Trailer", "Checksum")
		defer w.Header().Set("Checksum", strconv.FormatInt(size, 16))
	} else if q.Get("chunked") != "1" {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if status := intParam(q, "status"); status > 0 {
		w.WriteHeader(int(status))
	}
	s.writeBody(w, body, size)
}

// writeBody writes size bytes by repeating body.
func (s *Server) writeBody(w http.ResponseWriter, body string, size int64) {
	truncated := s.consumeFault(&s.faults.Truncate)
	if truncated {
		size /= 2
	}
	block := body
	if size > int64(len(body)) {
		block = strings.Repeat(body, max(1, (32<<10)/len(body)))
	}
	for size > 0 {
		n, err := io.WriteString(w, block[:min(int64(len(block)), size)])
		if err != nil {
			return
		}
		size -= int64(n)
	}
	if truncated {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// earlierID returns the Request-Id of the last response, or a placeholder if
// there is none.
func (s *Server) earlierID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastID == "" {
		return "earlier-request"
	}
	return s.lastID
}

func (s *Server) setLastID(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID = id
}

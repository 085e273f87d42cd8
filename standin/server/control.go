package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"godwitlock.example/godwitlock/topo"
)

// maxControlBodyBytes bounds the bodies of control messages and fault settings.
const maxControlBodyBytes = 1 << 20

// lease holds the slices granted to a server. They all expire together, by the
// clock of the server.
type lease struct {
	term   topo.Term
	expiry time.Duration
	slices map[topo.SliceID]topo.Fence
	// revoked holds the fence of the last revocation of each slice. A grant
	// that was sent before the revocation and arrives after it must not
	// restore the slice.
	revoked map[topo.SliceID]topo.Fence
}

// controlRequest is the body of a control message.
type controlRequest struct {
	Term      topo.Term      `json:"term"`
	Seq       uint64         `json:"seq"`
	Slices    []topo.SliceID `json:"slices"`
	ExpiresMS int64          `json:"expires_ms"`
	BootID    string         `json:"boot_id"`
}

// heldSlice is a slice in a reply, with the fence of its grant.
type heldSlice struct {
	Slice topo.SliceID `json:"slice"`
	Term  topo.Term    `json:"term"`
	Seq   uint64       `json:"seq"`
}

// reply answers a control message.
type reply struct {
	BootID    string      `json:"boot_id"`
	ClockMS   int64       `json:"clock_ms"`
	Term      topo.Term   `json:"term"`
	Accepted  bool        `json:"accepted"`
	ExpiresMS int64       `json:"expires_ms"`
	Slices    []heldSlice `json:"slices"`
	Reason    string      `json:"reason,omitempty"`
}

// control returns the HTTP handler for one kind of control message. handle
// returns the reason for a refusal, or "" if it accepts the message.
func (s *Server) control(handle func(controlRequest) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitResume(r.Context()) {
			return
		}
		var req controlRequest
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&req); err != nil {
			http.Error(w, "malformed order", http.StatusBadRequest)
			return
		}
		writeJSON(w, s.handleControl(req, handle))
	}
}

// handleControl checks the term, handles the message and builds the reply.
func (s *Server) handleControl(req controlRequest, handle func(controlRequest) string) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredLease()
	reason := ""
	if req.Term < s.lease.term {
		reason = "lower term"
	} else {
		s.lease.term = req.Term
		reason = handle(req)
	}
	return reply{
		BootID: s.bootID, ClockMS: s.clock().Milliseconds(), Term: s.lease.term,
		Accepted: reason == "", ExpiresMS: s.lease.expiry.Milliseconds(),
		Slices: s.heldSlices(), Reason: reason,
	}
}

// dropExpiredLease drops the slices once the lease has expired. They may
// already belong to another server, so a late renewal must not restore them.
func (s *Server) dropExpiredLease() {
	if s.clock() >= s.lease.expiry {
		s.lease.slices = nil
		s.lease.expiry = 0
	}
}

func (s *Server) heldSlices() []heldSlice {
	hs := make([]heldSlice, 0, len(s.lease.slices))
	for id, f := range s.lease.slices {
		hs = append(hs, heldSlice{Slice: id, Term: f.Term, Seq: f.Seq})
	}
	slices.SortFunc(hs, func(a, b heldSlice) int { return int(a.Slice) - int(b.Slice) })
	return hs
}

// extendLease moves the expiry of the lease. The new expiry is a reading of the
// clock of this server, so it is refused if the server has rebooted since
// that reading.
func (s *Server) extendLease(req controlRequest) string {
	if req.BootID != s.bootID {
		return "other boot"
	}
	expiry := time.Duration(req.ExpiresMS) * time.Millisecond
	if expiry <= s.clock() {
		return "expired"
	}
	s.lease.expiry = max(s.lease.expiry, expiry)
	return ""
}

func (s *Server) grant(req controlRequest) string {
	fence := topo.Fence{Term: req.Term, Seq: req.Seq}
	for _, id := range req.Slices {
		if fence.Less(s.lease.slices[id]) {
			return "lower fence"
		}
		if last, ok := s.lease.revoked[id]; ok && !last.Less(fence) {
			return "revoked"
		}
	}
	if reason := s.extendLease(req); reason != "" {
		return reason
	}
	if s.lease.slices == nil {
		s.lease.slices = map[topo.SliceID]topo.Fence{}
	}
	for _, id := range req.Slices {
		s.lease.slices[id] = fence
	}
	return ""
}

func (s *Server) renew(req controlRequest) string {
	if s.lease.expiry == 0 {
		return "no lease"
	}
	return s.extendLease(req)
}

func (s *Server) revoke(req controlRequest) string {
	fence := topo.Fence{Term: req.Term, Seq: req.Seq}
	if s.lease.revoked == nil {
		s.lease.revoked = map[topo.SliceID]topo.Fence{}
	}
	for _, id := range req.Slices {
		if !fence.Less(s.lease.slices[id]) {
			delete(s.lease.slices, id)
		}
		if s.lease.revoked[id].Less(fence) {
			s.lease.revoked[id] = fence
		}
	}
	return ""
}

func (s *Server) claims(controlRequest) string { return "" }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

package ingress

import (
	"sync/atomic"
	"time"
)

// Stage is how far the handler has come with a request.
type Stage uint32

// The stages of a request.
const (
	// Received: the request is not admitted yet.
	Received Stage = iota
	// WaitingForOwner: the key is being handed over.
	WaitingForOwner
	// WaitingForSlot: the request waits for a slot of a server.
	WaitingForSlot
	// Sent: the request was passed on to a server.
	Sent
	// AnswerBegun: the head of a server's answer was read.
	AnswerBegun
)

// String returns the name of the stage as it is logged.
func (s Stage) String() string {
	return [...]string{"received", "waiting_for_owner", "waiting_for_slot", "sent", "answer_begun"}[s]
}

// Progress is how far the handler has come with a request. It is safe for
// concurrent use.
type Progress struct {
	stage  atomic.Uint32
	server atomic.Pointer[string]
	sentAt atomic.Int64
}

// SetStage records a stage.
func (p *Progress) SetStage(s Stage) { p.stage.Store(uint32(s)) }

// SetSent records that the request is sent to a server now.
func (p *Progress) SetSent(server *string, now time.Time) {
	p.server.Store(server)
	p.sentAt.Store(now.UnixNano())
	p.SetStage(Sent)
}

// Stage returns the stage that was recorded last.
func (p *Progress) Stage() Stage { return Stage(p.stage.Load()) }

// Attempt returns the server to which the request was sent last and the time
// since then. The server is empty when the request was not sent.
func (p *Progress) Attempt() (server string, took time.Duration) {
	s := p.server.Load()
	if s == nil {
		return "", 0
	}
	return *s, time.Since(time.Unix(0, p.sentAt.Load()))
}

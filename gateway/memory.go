package gateway

import (
	"net/http"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/membudget"
)

// requestBytes is what a request holds besides its head and its body: the buffer for its
// response, its stack and its contexts.
const requestBytes = copyBufferBytes + 12<<10

// takeMemory accounts for n bytes of the request and returns true, or returns false if
// they do not fit.
func (x *exchange) takeMemory(p membudget.Purpose, c membudget.Class, n int64) bool {
	if !x.g.cfg.Memory.Take(p, c, n) {
		return false
	}
	if p == membudget.Bodies {
		x.heldBody += n
	} else {
		x.heldHead += n
	}
	return true
}

// releaseMemory gives back what the request holds.
func (x *exchange) releaseMemory() {
	x.g.cfg.Memory.Give(membudget.Heads, x.heldHead)
	x.g.cfg.Memory.Give(membudget.Bodies, x.heldBody)
	x.heldHead, x.heldBody = 0, 0
}

func errNoRequestMemory() error {
	return errkind.New(errkind.QueueFull, "the requests in progress hold all memory for callers")
}

// bufferedBytes returns how much of a body is buffered at most.
func bufferedBytes(length int64) int64 {
	switch {
	case length > call.MaxBufferedBody:
		return 0
	case length >= 0:
		return length
	}
	return call.MaxBufferedBody + 1
}

// headLines returns the number of lines of a head.
func headLines(r *http.Request) int {
	n := 1
	for _, values := range r.Header {
		n += len(values)
	}
	return n
}

package ingress

import "sync"

// readerState is what readLoop does.
type readerState uint8

const (
	// reading: bytes of a request were read, and it is not started yet.
	reading readerState = iota
	// waiting: the read buffer is empty.
	waiting
	// stopped: no further request is started.
	stopped
)

// connState decides which response of a connection is the last one. Every request
// of which bytes were read gets a response: a response closes the connection only
// if no other is owed and, under the same lock, no further request can start.
type connState struct {
	mu     sync.Mutex
	reader readerState
	// unanswered counts the requests that were read and whose response is not
	// being written yet. writing says that a response is being written.
	unanswered int
	writing    bool
	// drainedAt is the number of bytes that had been received at Drain.
	drainedAt int64
	// closing says that the connection closes as soon as nothing is owed.
	closing bool
	// ended says that the last response was chosen, or that writing failed.
	ended bool
	// streaming says that the response being written may break off, and with it the
	// connection. No request is started behind it. streamed is signalled when it ends.
	streaming bool
	streamed  sync.Cond
	// idle says that nothing is owed and that no request is being read. onIdle is
	// called with each change of it, under mu.
	idle   bool
	onIdle func(idle bool)
}

// update must be called under mu after each change.
func (s *connState) update() {
	idle := s.reader == waiting && s.owedLocked() == 0 && !s.ended && !s.closing
	if idle != s.idle {
		s.idle = idle
		if s.onIdle != nil {
			s.onIdle(idle)
		}
	}
}

// wait records that the read buffer is empty. It returns false, and stops the
// reader, if no further request may be read.
func (s *connState) wait(draining bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.reader = waiting
	if s.ended || s.closing || draining && s.unanswered > 0 {
		s.reader = stopped
	}
	return s.reader == waiting
}

// beginRead records that bytes of a request were read. It returns false, and
// stops the reader, if the last response was chosen before.
func (s *connState) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.reader = reading
	if s.ended {
		s.reader = stopped
	}
	return s.reader == reading
}

// start records that a request was read completely, or refused, and what readLoop is
// to do next. end is the position in the received bytes after the request. It returns
// what readLoop does: while draining it reads a request behind another one only if
// its first byte was received before Drain.
func (s *connState) start(next readerState, end int64, draining bool) readerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.unanswered++
	s.reader = next
	if next == reading && draining && end >= s.drainedAt {
		s.reader = stopped
	}
	return s.reader
}

// beginAnswer records that a response is ready to be written, and reports whether
// it is the last one. With mustEnd it always is, with shouldEnd if no other response
// is owed.
func (s *connState) beginAnswer(mustEnd, shouldEnd bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.unanswered--
	s.writing = true
	last := mustEnd || (shouldEnd || s.closing) && s.unanswered == 0 && s.reader != reading
	s.ended = s.ended || last
	s.streamed.Broadcast()
	return last
}

// beginStream records that a response which may break off is written next, so that no
// further request is passed to the handler until endAnswer. It returns false, and changes
// nothing, if other responses are owed behind it or a request is being read, unless force is
// set.
func (s *connState) beginStream(force bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !force && (s.unanswered > 1 || s.reader == reading) {
		return false
	}
	s.streaming = true
	return true
}

// awaitStream waits while a response that may break off is being written. It returns false
// if no response follows that one.
func (s *connState) awaitStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.streaming {
		return true
	}
	s.streamed.L = &s.mu
	for s.streaming && !s.ended {
		s.streamed.Wait()
	}
	return !s.ended
}

// endAnswer records that a response was written.
func (s *connState) endAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.writing, s.streaming = false, false
	s.streamed.Broadcast()
}

// end records that no further response is written.
func (s *connState) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	s.ended = true
	s.streamed.Broadcast()
}

// stopWaiting records that the reader has returned.
func (s *connState) stopWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	if s.reader == waiting {
		s.reader = stopped
	}
}

// hasEnded reports whether the last response was chosen or writing failed.
func (s *connState) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// owed returns the number of requests that were read and not answered completely.
func (s *connState) owed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owedLocked()
}

func (s *connState) owedLocked() int {
	if s.writing {
		return s.unanswered + 1
	}
	return s.unanswered
}

// drain records the number of received bytes, and calls interrupt if the reader
// waits for a request behind others.
func (s *connState) drain(received int64, interrupt func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = received
	if s.reader == waiting && s.unanswered > 0 {
		interrupt()
	}
}

// closeIdle makes an idle connection close and calls interrupt. A request of which
// bytes were read at the same moment is still answered. It reports whether the
// connection was idle.
func (s *connState) closeIdle(interrupt func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.update()
	if s.reader != waiting || s.owedLocked() > 0 {
		return false
	}
	s.closing = true
	interrupt()
	return true
}

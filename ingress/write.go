package ingress

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeLoop writes the responses in the order of the requests.
func (c *conn) writeLoop() {
	defer close(c.writerDone)
	bw := bufio.NewWriterSize(c.nc, bufferBytes)
	for p := range c.pending {
		var resp *Response
		select {
		case resp = <-p.response:
			resp = c.holdBack(p, answerable(resp))
		case <-c.ctx.Done():
			// The caller has disconnected. The handler runs with the same context
			// and returns soon.
			resp = <-p.response
			resp.Abort = true
		}
		last := c.state.beginAnswer(p.last, c.srv.draining.Load() || resp.CloseDelimited || c.srv.above(closeFraction))
		err := c.writeResponse(bw, p, resp, last)
		var end *ConnectionEnd
		if err != nil || last {
			end = c.endOf(p, err)
			// Before endAnswer, which lets requests behind this answer start.
			c.state.end()
		}
		if resp.OnWritten != nil && err != nil {
			resp.OnWritten(end)
		} else if resp.OnWritten != nil {
			resp.OnWritten(nil)
		}
		c.lastWrite.Store(time.Now().UnixNano())
		c.state.endAnswer()
		c.list.remove()
		c.release(p)
		if end != nil {
			ahead := 0
			if err != nil {
				c.reportDropped(p, end, 0, p.readyStatus(resp))
				ahead = 1
			}
			c.shutdown(end, ahead)
			return
		}
	}
}

// shutdown stops readLoop and cancels the requests that follow the last answered
// one. They get no response, so the caller must treat them as not read. ahead is
// the number of requests that were dropped already.
func (c *conn) shutdown(end *ConnectionEnd, ahead int) {
	c.state.end()
	c.writeEnded.Store(true)
	c.cancel(end)
	c.interrupt()
	go func() {
		for p := range c.pending {
			c.drop(p, end, ahead)
			ahead++
		}
	}()
}

// errAborted reports a response that the handler or a disconnect aborted.
var errAborted = errors.New("connection closed without a response")

func (c *conn) writeResponse(bw *bufio.Writer, p *pendingResponse, resp *Response, last bool) error {
	if resp.Stream != nil {
		defer func() { _ = resp.Stream.Close() }()
	}
	if resp.Abort {
		return errAborted
	}
	c.setWriteDeadline(writeTimeout)
	unframed := resp.CloseDelimited && last
	writeHead(bw, resp, unframed, last)
	if !hasBody(p, resp) {
		return bw.Flush()
	}
	if unframed {
		// An ordinary close would make what has been written look complete.
		c.resetOnClose(true)
	}
	err := c.writeBody(bw, resp, unframed)
	if unframed && err == nil {
		c.resetOnClose(false)
	}
	return err
}

func (c *conn) writeBody(bw *bufio.Writer, resp *Response, unframed bool) error {
	if resp.Stream == nil {
		_, _ = bw.Write(resp.Body)
		return bw.Flush()
	}
	resp.Stream = newTakeover(resp.Stream, c)
	if unframed {
		return c.writeUnframed(bw, resp.Stream)
	}
	return c.writeStream(bw, resp)
}

// resetOnClose sets whether the close of the connection resets it, also at the end of the
// process.
func (c *conn) resetOnClose(reset bool) {
	c.reset.Store(reset)
	nc, ok := c.nc.(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = nc.SetLinger(seconds)
}

// hasBody reports whether the response to p has a body.
func hasBody(p *pendingResponse, resp *Response) bool {
	return p.method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified
}

// writeHead writes the status line and header section. The head of an unframed
// response leaves the end of the body to the close of the connection.
func writeHead(bw *bufio.Writer, resp *Response, unframed, last bool) {
	_, _ = bw.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status) + "\r\n")
	for name, values := range resp.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" {
			continue
		}
		for _, v := range values {
			_, _ = bw.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case unframed:
	case resp.Stream != nil && resp.Length < 0:
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n")
	case resp.Stream != nil:
		_, _ = bw.WriteString("Content-Length: " + strconv.FormatInt(resp.Length, 10) + "\r\n")
	case resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		_, _ = bw.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	if last {
		_, _ = bw.WriteString("Connection: close\r\n")
	}
	_, _ = bw.WriteString("\r\n")
}

// writeUnframed copies a streamed body whose end is marked by the close of the
// connection.
func (c *conn) writeUnframed(bw *bufio.Writer, source io.Reader) error {
	buf := make([]byte, bufferBytes)
	pace := writePace{rate: c.callers.AnswerRate}
	for {
		n, err := source.Read(buf)
		c.setWriteDeadline(pace.left())
		_, _ = bw.Write(buf[:n])
		if flushErr := pace.flush(bw, n); flushErr != nil {
			return flushErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return sourceError{err}
		}
	}
}

// writeStream copies a streamed body. If its source fails, the response lacks
// its last chunk or some of its Content-Length, so that the caller can tell
// that it is incomplete.
func (c *conn) writeStream(bw *bufio.Writer, resp *Response) error {
	buf := make([]byte, bufferBytes)
	pace := writePace{rate: c.callers.AnswerRate}
	remaining := resp.Length
	for {
		n, err := resp.Stream.Read(buf)
		if n > 0 {
			c.setWriteDeadline(pace.left())
			if resp.Length < 0 {
				_, _ = bw.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n")
			}
			_, _ = bw.Write(buf[:n])
			if resp.Length < 0 {
				_, _ = bw.WriteString("\r\n")
			}
			remaining -= int64(n)
			if flushErr := pace.flush(bw, n); flushErr != nil {
				return flushErr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return sourceError{err}
		}
	}
	if resp.Length < 0 {
		_, _ = bw.WriteString("0\r\n\r\n")
	} else if remaining != 0 {
		return sourceError{io.ErrUnexpectedEOF}
	}
	return bw.Flush()
}

// statusResponse returns a response of the front end itself, with the status
// text as its body.
func statusResponse(status int) *Response {
	return &Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(http.StatusText(status) + "\n"),
	}
}

// resolved returns a channel that already contains resp.
func resolved(resp *Response) chan *Response {
	ch := make(chan *Response, 1)
	ch <- resp
	return ch
}

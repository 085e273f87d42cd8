package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"godwitlock.example/godwitlock/internal/readlimit"
	"godwitlock.example/godwitlock/membudget"
)

// awaitHead waits until the head of the next request is complete in the read buffer,
// which grows with it, and returns its size and number of lines. Until then nothing is
// parsed: a parsed head takes many times the memory of its text. It returns 0 for a head
// whose first line is malformed. A Response refuses the request.
func (c *conn) awaitHead(limits Limits) (size, lines int, refusal *Response, err error) {
	most := limits.HeaderBytes + headerSlackBytes
	searched := 0
	for {
		data, _ := c.br.Peek(c.br.Buffered())
		if size = headEnd(data, searched); size > most {
			return 0, 0, nil, readlimit.ErrExceeded
		}
		if size > 0 {
			return size, bytes.Count(data[:size], []byte{'\n'}), nil, nil
		}
		if malformedStart(data) {
			return 0, 0, nil, nil
		}
		searched = max(0, len(data)-3)
		switch {
		case len(data) > most && bytes.IndexByte(data, '\n') < 0:
			return 0, 0, statusResponse(http.StatusBadRequest), nil
		case len(data) > most:
			return 0, 0, nil, readlimit.ErrExceeded
		case len(data) == c.br.Size():
			if !c.growBuffer(min(2*len(data), most+bufferBytes)) {
				return 0, 0, overloaded(), nil
			}
		}
		_, err := c.br.Peek(len(data) + 1)
		if err == readlimit.ErrExceeded && bytes.IndexByte(data, '\n') < 0 {
			return 0, 0, statusResponse(http.StatusBadRequest), nil
		}
		if err != nil {
			return 0, 0, nil, err
		}
	}
}

// headEnd returns the size of the head at the start of data, 0 if its end is not there.
// It searches from the given position on.
func headEnd(data []byte, from int) int {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		rest := data[from:]
		if len(rest) > 0 && rest[0] == '\n' {
			return from + 1
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return from + 2
		}
	}
}

// malformedStart reports whether data starts with a complete line that is no request
// line. Its caller need not be waited for.
func malformedStart(data []byte) bool {
	line, _, complete := bytes.Cut(data, []byte{'\n'})
	if !complete {
		return false
	}
	line = bytes.TrimSuffix(line, []byte{'\r'})
	first, last := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	if first == last {
		return true
	}
	_, _, ok := http.ParseHTTPVersion(string(line[last+1:]))
	return !ok
}

// growBuffer replaces the read buffer by a larger one. It returns false if that does
// not fit into the memory budget.
func (c *conn) growBuffer(size int) bool {
	data, _ := c.br.Peek(c.br.Buffered())
	if !c.take(membudget.Heads, c.classOfNext(), int64(size)) {
		return false
	}
	larger := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data), c.limited), size)
	_, _ = larger.Peek(len(data))
	c.shrinkBuffer()
	c.br, c.largerBuffer = larger, int64(size)
	return true
}

// shrinkBuffer goes back to the first read buffer. The other one must be empty, or its
// content copied.
func (c *conn) shrinkBuffer() {
	if c.largerBuffer == 0 {
		return
	}
	c.firstBuffer.Reset(c.limited)
	c.give(membudget.Heads, c.largerBuffer)
	c.br, c.largerBuffer = c.firstBuffer, 0
}

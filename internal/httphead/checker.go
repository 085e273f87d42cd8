// Package httphead checks the heads of HTTP/1.x responses byte by byte. net/http accepts
// some that are malformed: a name with a blank, a line that begins with a blank, and lines
// that end in different ways. It passes such a field on under another name or as a part of
// another field, and misses it if it frames the body. It also accepts a body that is framed
// in two ways, or in a way that its version of HTTP does not have.
package httphead

import (
	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// part is the part of a head that a byte belongs to.
type part uint8

const (
	statusLine part = iota
	// lineStart is the first byte after the status line or a field.
	lineStart
	fieldName
	fieldValue
	// behindHead stands for the body and what follows it.
	behindHead
)

// minorVersionOffset and statusClassOffset are the places of the last digit of the version
// and of the first one of the status in a status line.
const (
	minorVersionOffset = len("HTTP/1.")
	statusClassOffset  = len("HTTP/1.1 ")
)

// The fields that frame a body.
const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
)

// Checker checks a response until its head is complete, together with the informational
// responses before it. The zero value expects the first byte of a response.
type Checker struct {
	part part
	// offset is the number of bytes of the current status line or name.
	offset int
	// name holds the first bytes of the current name, in lower case.
	name [len(transferEncoding)]byte
	// http10 and informational say that the version of the current head is HTTP/1.0, and
	// its status 1xx.
	http10, informational bool
	// hasLength and hasEncoding say that the head has a field of that name.
	hasLength, hasEncoding bool
	// bareLF says that the status line ended with LF alone, as the other lines must then.
	bareLF bool
	// afterCR says that the last byte was CR.
	afterCR bool
	err     error
}

// Check takes the next bytes of a response. It returns how many of them precede the first
// byte that does not belong in a head, and an error if there is such a byte. Each further
// call returns that error. Bytes behind the head are accepted as they are.
func (c *Checker) Check(p []byte) (int, error) {
	for i, b := range p {
		if c.err == nil && c.part == behindHead {
			return len(p), nil
		}
		if c.err == nil {
			c.err = c.next(b)
		}
		if c.err != nil {
			return i, c.err
		}
	}
	return len(p), c.err
}

// next takes one byte of a head.
func (c *Checker) next(b byte) error {
	switch {
	case b == '\n':
		return c.endLine()
	case c.afterCR:
		return errors.New("head of the response has a CR that is not followed by LF")
	case b == '\r' && c.part != fieldName:
		c.afterCR = true
		return nil
	}
	switch c.part {
	case lineStart:
		c.part, c.offset = fieldName, 0
		return c.nameByte(b)
	case fieldName:
		return c.nameByte(b)
	}
	if c.part == statusLine {
		switch c.offset {
		case minorVersionOffset:
			c.http10 = b == '0'
		case statusClassOffset:
			c.informational = b == '1'
		}
		c.offset++
	}
	if isControl(b) {
		return errors.Errorf("head of the response has the control byte %q", b)
	}
	return nil
}

// nameByte takes a byte of a name, or the colon behind it.
func (c *Checker) nameByte(b byte) error {
	switch {
	case b == ':' && c.offset > 0:
		c.part = fieldValue
		c.recordFraming()
	case b == ':':
		return errors.New("head of the response has a field without a name")
	case !httpguts.IsTokenRune(rune(b)):
		return errors.Errorf("name of a field of the response has the byte %q", b)
	default:
		if c.offset < len(c.name) {
			c.name[c.offset] = lower(b)
		}
		c.offset++
	}
	return nil
}

// recordFraming records that the head has the current name, if that frames a body.
func (c *Checker) recordFraming() {
	if c.offset > len(c.name) {
		return
	}
	switch string(c.name[:c.offset]) {
	case contentLength:
		c.hasLength = true
	case transferEncoding:
		c.hasEncoding = true
	}
}

// endLine takes the LF at the end of a line.
func (c *Checker) endLine() error {
	bareLF := !c.afterCR
	c.afterCR = false
	switch {
	case c.part == fieldName:
		return errors.New("head of the response has a line without a colon")
	case c.part == statusLine:
		c.bareLF = bareLF
	case bareLF != c.bareLF:
		return errors.New("lines of the head of the response end in different ways")
	case c.part == lineStart:
		return c.endHead()
	}
	c.part = lineStart
	return nil
}

// endHead takes the end of the empty line behind the fields.
func (c *Checker) endHead() error {
	switch {
	case c.hasEncoding && c.http10:
		return errors.New("response of HTTP/1.0 has a Transfer-Encoding")
	case c.hasEncoding && c.hasLength:
		return errors.New("response has both a Transfer-Encoding and a Content-Length")
	}
	if c.informational {
		*c = Checker{}
	} else {
		c.part = behindHead
	}
	return nil
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isControl reports whether b is a control byte that no line of a head may have.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

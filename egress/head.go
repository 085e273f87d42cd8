package egress

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/internal/readlimit"
)

// readHead reads response heads until the one that carries the ID of req. It
// skips late responses to earlier requests.
func (cn *conn) readHead(h *Headers, req *Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxStaleResponses; skipped++ {
		resp, err := cn.readFinalHead(req)
		if err != nil {
			return nil, err
		}
		cn.notice(h, resp)
		got := resp.Header[h.RequestID]
		if len(got) == 1 && got[0] == req.ID {
			return resp, call.CheckConnection(resp.Header, h.RequestID, h.Seal, "Content-Encoding")
		}
		if len(got) == 0 {
			return cn.matchWithoutID(h, resp)
		}
		if closeDelimited(resp) {
			return nil, errUnmatchedResponse
		}
		// This is a late second response to an earlier request.
		if err := skipBody(resp.Body); err != nil {
			return nil, err
		}
		cn.reusable = false
	}
	return nil, errUnmatchedResponse
}

// matchWithoutID accepts the refusal of a server that could not read the request
// and thus returns no ID. On a connection that has carried an earlier exchange, it
// may be a further response to an earlier request, so it says nothing about the
// current one. The connection is closed, because the refusal may be written again.
func (cn *conn) matchWithoutID(h *Headers, resp *http.Response) (*http.Response, error) {
	if cn.kept || !notRun(h, resp) {
		return nil, errUnmatchedResponse
	}
	cn.reusable = false
	return resp, nil
}

// notice passes on what the server says about itself with a response, which need
// not be the response to the current request.
func (cn *conn) notice(h *Headers, resp *http.Response) {
	if h.ParseNotice == nil || cn.client.OnNotice == nil {
		return
	}
	if n := h.ParseNotice(resp.StatusCode, resp.Header); n != (Notice{}) {
		cn.client.OnNotice(cn.server, n)
	}
}

// skipBody reads a body to its end. It fails after maxStaleBodyBytes.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleBodyBytes+1))
	if err == nil && n > maxStaleBodyBytes {
		return errors.Errorf("body of a late response is longer than %d bytes", maxStaleBodyBytes)
	}
	return err
}

// readFinalHead reads response heads until one that is not informational. It
// fails at the first byte that does not belong in a head, and after
// readlimit.ResponseHeadBytes.
func (cn *conn) readFinalHead(req *Request) (*http.Response, error) {
	cn.limited.SetLimit(readlimit.ResponseHeadBytes)
	defer cn.limited.Unlimit()
	buffered, err := cn.br.Peek(cn.br.Buffered())
	if err != nil {
		return nil, err
	}
	if err := cn.heads.ExpectResponse(buffered); err != nil {
		return nil, err
	}
	for {
		if err := cn.checkStatusLine(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: req.Method})
		if malformed := cn.heads.Err(); malformed != nil {
			return nil, malformed
		}
		switch {
		case errors.Is(err, readlimit.ErrExceeded):
			return nil, errors.Annotatef(err, "response has no complete head within %d bytes", readlimit.ResponseHeadBytes)
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected response 101 Switching Protocols")
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
}

// statusLineStart is the form of the start of a status line. A d stands for any
// digit and an s for the first digit of the status, which is 1 to 5.
const statusLineStart = "HTTP/1.d sdd"

// checkStatusLine waits for the start of a status line. It fails at the first
// byte that does not belong there, without waiting for the end of the line.
func (cn *conn) checkStatusLine() error {
	for i := range len(statusLineStart) {
		b, err := cn.br.Peek(i + 1)
		if err != nil {
			return err
		}
		if !matchesForm(b[i], statusLineStart[i]) {
			return errors.Errorf("response starts with %q, expected a status line of HTTP/1.x", b)
		}
	}
	return nil
}

func matchesForm(b, form byte) bool {
	switch form {
	case 'd':
		return b >= '0' && b <= '9'
	case 's':
		return b >= '1' && b <= '5'
	}
	return b == form
}

// notRun reports whether the server states that it did not run the request.
func notRun(h *Headers, resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(h.NotRun) != ""
}

// closeDelimited reports whether only the close of the connection marks the end
// of the body.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

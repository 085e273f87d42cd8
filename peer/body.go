package peer

import (
	"context"
	"io"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/topo"
)

// chunkReader is an io.Reader over the body frames of a Forward stream. Its next
// function returns the next chunk. It returns io.EOF only after an End frame, so
// that a broken stream never passes for the end of a complete body.
type chunkReader struct {
	next  func() ([]byte, error)
	chunk []byte
	err   error
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 && r.err == nil {
		r.chunk, r.err = r.next()
	}
	if len(r.chunk) == 0 {
		return 0, r.err
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

// responseBody is the body of a response from a home VM.
type responseBody struct {
	chunkReader
	cancel context.CancelFunc
}

// Close implements io.Closer. It cancels the stream, and with it a request that
// is still running at the home VM.
func (b *responseBody) Close() error {
	b.cancel()
	return nil
}

func newResponse(h *peerpb.ResponseHead, stream forwardClient, cancel context.CancelFunc) *call.Response {
	resp := &call.Response{
		Status: int(h.GetStatus()), Header: decodeHeader(h.GetHeader()),
		ContentLength: h.GetContentLength(), Server: topo.ServerID(h.GetServer()),
	}
	next := func() ([]byte, error) { return nextResponseChunk(stream, resp) }
	resp.Body = &responseBody{chunkReader: chunkReader{next: next}, cancel: cancel}
	return resp
}

func nextResponseChunk(stream forwardClient, resp *call.Response) ([]byte, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, errkind.Wrap(err, errkind.OutcomeUnknown, "connection to the home VM was lost inside an answer")
	}
	switch f := frame.GetFrame().(type) {
	case *peerpb.ForwardDown_Body:
		return f.Body, nil
	case *peerpb.ForwardDown_End:
		trailer := decodeHeader(f.End.GetTrailer())
		if err := call.CheckHeader(trailer); err != nil {
			return nil, errkind.Wrap(err, errkind.OutcomeUnknown, "home VM sent an unusable trailer")
		}
		resp.Trailer = trailer
		return nil, io.EOF
	case *peerpb.ForwardDown_Refusal:
		return nil, decodeRefusal(f.Refusal)
	}
	return nil, errors.New("unexpected frame from the home VM: got neither body, end nor refusal within a response body")
}

// newRequestBody returns a reader of the body of a request from an entry VM. At
// the end of the body it fills req.Trailer.
func newRequestBody(stream forwardServer, req *call.Request) io.Reader {
	return &chunkReader{next: func() ([]byte, error) { return nextRequestChunk(stream, req) }}
}

func nextRequestChunk(stream forwardServer, req *call.Request) ([]byte, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, errors.Annotate(unexpectedEOF(err), "Forward stream from the entry VM ended before the end of the request body")
	}
	switch f := frame.GetFrame().(type) {
	case *peerpb.ForwardUp_Body:
		return f.Body, nil
	case *peerpb.ForwardUp_End:
		for name, values := range decodeHeader(f.End.GetTrailer()) {
			req.Trailer[name] = values
		}
		return nil, io.EOF
	}
	return nil, errors.New("unexpected frame from the entry VM: got neither body nor end within a request body")
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

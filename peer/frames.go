package peer

import (
	"net/http"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/peer/peerpb"
	"godwitlock.example/godwitlock/topo"
)

// ChunkBytes is the size of the largest body chunk of a Forward stream. It is
// half of gRPC's default flow-control window, so that one chunk can be in flight
// while the next is read.
const ChunkBytes = 32 << 10

// firstChunkBytes is the size of the buffer for the first chunk of a body of
// unknown length. Most bodies are smaller. Each chunk needs a buffer of its own,
// since gRPC may keep a message after Send has returned.
const firstChunkBytes = 4 << 10

// chunker allocates buffers for the chunks of one body.
type chunker struct {
	// remaining is the number of bytes still to read, -1 when unknown.
	remaining int64
	started   bool
}

// next returns a buffer for the next chunk. For a body of known length the
// buffer is at most one byte longer than the rest, so that the read that returns
// io.EOF needs no full chunk.
func (c *chunker) next() []byte {
	size := int64(ChunkBytes)
	if c.remaining >= 0 {
		size = min(size, c.remaining+1)
	} else if !c.started {
		size = firstChunkBytes
	}
	c.started = true
	return make([]byte, size)
}

// consumed records that n bytes were read.
func (c *chunker) consumed(n int) {
	if c.remaining >= 0 {
		c.remaining = max(0, c.remaining-int64(n))
	}
}

var kindByName = func() map[string]errkind.Kind {
	m := make(map[string]errkind.Kind)
	for _, k := range errkind.Kinds() {
		m[k.String()] = k
	}
	return m
}()

func encodeHeader(h http.Header) []*peerpb.Header {
	fields := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		f := &peerpb.Header{Name: name, Values: make([][]byte, len(values))}
		for i, v := range values {
			f.Values[i] = []byte(v)
		}
		fields = append(fields, f)
	}
	return fields
}

func decodeHeader(fields []*peerpb.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		values := make([]string, len(f.GetValues()))
		for i, v := range f.GetValues() {
			values[i] = string(v)
		}
		h[f.GetName()] = values
	}
	return h
}

func encodeHead(req *call.Request) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Id: req.ID, Customer: string(req.Customer), Service: string(req.Service),
		Key: req.Key, Slice: uint32(req.Slice), Server: string(req.Server),
		FenceTerm: uint64(req.Fence.Term), FenceSeq: req.Fence.Seq,
		Method: req.Method, Target: req.Target, Header: encodeHeader(req.Header),
		Idempotent: req.Idempotent, ExactlyOnce: req.ExactlyOnce,
		IdempotencyKey: req.IdempotencyKey, Large: req.Class == call.Large,
		ContentLength: req.ContentLength, HasBody: req.Body != nil,
		Replayable: req.Replayable,
	}
}

func decodeHead(h *peerpb.RequestHead) *call.Request {
	req := &call.Request{
		ID: h.GetId(), Customer: topo.CustomerID(h.GetCustomer()), Service: topo.ServiceName(h.GetService()),
		Key: h.GetKey(), Slice: topo.SliceID(h.GetSlice()), Server: topo.ServerID(h.GetServer()),
		Fence:  topo.Fence{Term: topo.Term(h.GetFenceTerm()), Seq: h.GetFenceSeq()},
		Method: h.GetMethod(), Target: h.GetTarget(), Header: decodeHeader(h.GetHeader()),
		Idempotent: h.GetIdempotent(), ExactlyOnce: h.GetExactlyOnce(),
		IdempotencyKey: h.GetIdempotencyKey(), ContentLength: h.GetContentLength(),
		Replayable: h.GetReplayable(), Trailer: http.Header{},
	}
	if h.GetLarge() {
		req.Class = call.Large
	}
	return req
}

func encodeRefusal(err error) *peerpb.Refusal {
	refusal := &peerpb.Refusal{Kind: errkind.Of(err).String(), Message: "internal error"}
	var e *errkind.Error
	if errors.As(err, &e) {
		refusal.Message = e.Msg
	}
	return refusal
}

// decodeRefusal returns the error that r describes. A kind that this version
// does not know becomes OutcomeUnknown, the only safe interpretation.
func decodeRefusal(r *peerpb.Refusal) error {
	kind, ok := kindByName[r.GetKind()]
	if !ok {
		kind = errkind.OutcomeUnknown
	}
	return errkind.New(kind, "%s", r.GetMessage())
}

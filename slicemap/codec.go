package slicemap

import (
	"encoding/binary"
	"fmt"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

// codecVersion is the version of the encoding and the first byte of every encoded
// delta.
const codecVersion = 1

// Flags of an encoded entry. The low 2 bits hold its phase.
const (
	flagNext      = 1 << 2
	flagSameFence = 1 << 3
)

// Encode appends the binary encoding of d to dst and returns the extended buffer.
// Numbers are varints except for the checksum, consecutive slices are grouped into
// runs, and a fence is written only if it differs from that of the preceding entry.
func (d *Delta) Encode(dst []byte) []byte {
	dst = append(dst, codecVersion)
	dst = putVersion(dst, d.From)
	dst = putVersion(dst, d.To)
	dst = binary.BigEndian.AppendUint64(dst, d.Sum)
	dst = binary.AppendUvarint(dst, uint64(len(d.Removed)))
	for _, name := range d.Removed {
		dst = putString(dst, string(name))
	}
	dst = binary.AppendUvarint(dst, uint64(len(d.Services)))
	for i := range d.Services {
		dst = d.Services[i].encode(dst)
	}
	return dst
}

func (s *ServiceDelta) encode(dst []byte) []byte {
	dst = putString(dst, string(s.Name))
	dst = putString(dst, string(s.Kind))
	dst = binary.AppendUvarint(dst, uint64(s.Slices))
	dst = binary.AppendUvarint(dst, uint64(len(s.Servers)))
	for i := range s.Servers {
		dst = s.Servers[i].encode(dst)
	}
	var fence topo.Fence
	dst = binary.AppendUvarint(dst, uint64(len(s.Entries)))
	for i, next := 0, topo.SliceID(0); i < len(s.Entries); {
		run := runLength(s.Entries[i:])
		dst = binary.AppendUvarint(dst, uint64(s.Entries[i].Slice-next))
		dst = binary.AppendUvarint(dst, uint64(run))
		for _, c := range s.Entries[i : i+run] {
			dst = putEntry(dst, c.Entry, &fence)
		}
		next = s.Entries[i+run-1].Slice + 1
		i += run
	}
	dst = binary.AppendUvarint(dst, uint64(len(s.Hot)))
	for _, c := range s.Hot {
		dst = binary.AppendUvarint(dst, uint64(c.Slot))
		dst = putString(dst, c.Key)
		dst = putEntry(dst, c.Entry, &fence)
	}
	return dst
}

func runLength(cs []EntryChange) int {
	n := 1
	for n < len(cs) && cs[n].Slice == cs[n-1].Slice+1 {
		n++
	}
	return n
}

func (c *ServerChange) encode(dst []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(c.Index))
	for _, s := range []string{string(c.ID), c.Addr, string(c.DataCentre), string(c.Home), c.HomeAddr} {
		dst = putString(dst, s)
	}
	dst = binary.AppendUvarint(dst, uint64(c.Slots))
	dst = binary.AppendUvarint(dst, uint64(c.MaxConns))
	dst = append(dst, byte(c.State), byte(c.flags()))
	return putVersion(putVersion(dst, c.HomeSince), c.ReleasingSince)
}

func putVersion(dst []byte, v Version) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(dst, uint64(v.Term)), v.Seq)
}

func putString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

func putEntry(dst []byte, e Entry, prev *topo.Fence) []byte {
	flags := byte(e.Phase)
	if e.Next != NoOwner {
		flags |= flagNext
	}
	if e.Fence == *prev {
		flags |= flagSameFence
	}
	dst = append(dst, flags)
	if e.Phase != Unowned {
		dst = binary.AppendUvarint(dst, uint64(e.Owner))
	}
	if e.Next != NoOwner {
		dst = binary.AppendUvarint(dst, uint64(e.Next))
	}
	if e.Fence != *prev {
		dst = putVersion(dst, e.Fence)
		*prev = e.Fence
	}
	return dst
}

// DecodeDelta decodes the encoding that Encode writes, and returns a NotValid error
// for malformed data. It checks every count against the limits of a table and the
// number of remaining bytes, and never panics.
func DecodeDelta(data []byte) (*Delta, error) {
	r := &reader{buf: data}
	if v := r.byte(); v != codecVersion {
		return nil, errors.NotValidf("table delta with codec version %d", v)
	}
	d := &Delta{From: r.version(), To: r.version(), Sum: r.uint64()}
	for range r.count("removed services", MaxServices, 1) {
		d.Removed = append(d.Removed, topo.ServiceName(r.string()))
	}
	for range r.count("services", MaxServices, 6) {
		if r.err != nil {
			break
		}
		d.Services = append(d.Services, r.service())
	}
	if r.err == nil && len(r.buf) > 0 {
		r.fail("%d unexpected bytes after the end", len(r.buf))
	}
	if r.err != nil {
		return nil, errors.Annotate(r.err, "table delta")
	}
	return d, nil
}

// reader decodes values from the front of buf and keeps the first error. After an
// error it returns zero values.
type reader struct {
	buf []byte
	err error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.NewNotValid(nil, fmt.Sprintf(format, args...))
	}
	r.buf = nil
}

func (r *reader) byte() byte {
	if len(r.buf) == 0 {
		r.fail("truncated before a 1-byte field")
		return 0
	}
	b := r.buf[0]
	r.buf = r.buf[1:]
	return b
}

func (r *reader) uint64() uint64 {
	if len(r.buf) < 8 {
		r.fail("truncated before an 8-byte field")
		return 0
	}
	v := binary.BigEndian.Uint64(r.buf)
	r.buf = r.buf[8:]
	return v
}

func (r *reader) uvarint(what string, limit uint64) uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 || v > limit {
		r.fail("%s out of range or truncated", what)
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

// count reads a number of items, up to limit, and checks that as many items of at
// least size bytes each fit into the remaining bytes.
func (r *reader) count(what string, limit, size int) int {
	n := int(r.uvarint(what, uint64(limit)))
	if n*size > len(r.buf) {
		r.fail("%d %s do not fit into the remaining %d bytes", n, what, len(r.buf))
		return 0
	}
	return n
}

func (r *reader) string() string {
	n := int(r.uvarint("string length", MaxString))
	if n > len(r.buf) {
		r.fail("truncated inside a string")
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

func (r *reader) version() Version {
	const limit = 1<<64 - 1
	return Version{Term: topo.Term(r.uvarint("term", limit)), Seq: r.uvarint("sequence number", limit)}
}

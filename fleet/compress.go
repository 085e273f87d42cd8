package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxConfigBytes bounds a decompressed configuration. The store holds values of
// up to a megabyte.
const maxConfigBytes = 4 << 20

// configCompressor caches the compressed form of the newest configuration. The
// leader sends each version to all VMs, some of which have links of 10 Mbit/s. It
// is safe for concurrent use.
type configCompressor struct {
	mu sync.Mutex
	// version tells a configuration that was taken from another VM from the one that the
	// store has at the same revision.
	rev, version int64
	data         []byte
}

// compress returns the gzip form of raw, the configuration of the given version at revision
// rev.
func (c *configCompressor) compress(raw []byte, rev, version int64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && c.rev == rev && c.version == version {
		return c.data, nil
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compressing the configuration")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Annotate(err, "compressing the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "compressing the configuration")
	}
	c.rev, c.version, c.data = rev, version, buf.Bytes()
	return c.data, nil
}

// decompress returns a configuration that another VM compressed. It fails on one
// that is larger than maxConfigBytes.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing the configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompressing the configuration")
	}
	if len(raw) > maxConfigBytes {
		return nil, errors.Errorf("decompressed configuration exceeds %d bytes", maxConfigBytes)
	}
	return raw, nil
}

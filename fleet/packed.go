package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/juju/errors"
)

// maxConfig bounds an unpacked configuration, in bytes. The store holds values
// of up to a megabyte.
const maxConfig = 4 << 20

// packer keeps the compressed form of the newest configuration. A leader sends
// each version to all VMs, some of which have 10 Mbit/s. It is safe for
// concurrent use.
type packer struct {
	mu   sync.Mutex
	rev  int64
	data []byte
}

// pack returns the compressed form of the configuration at a revision.
func (p *packer) pack(raw []byte, rev int64) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.rev == rev {
		return p.data, nil
	}
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "packing the configuration")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Annotate(err, "packing the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotate(err, "packing the configuration")
	}
	p.rev, p.data = rev, buf.Bytes()
	return p.data, nil
}

// unpack returns a configuration that another VM packed.
func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Annotate(err, "unpacking the configuration")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxConfig+1))
	if err != nil {
		return nil, errors.Annotate(err, "unpacking the configuration")
	}
	if len(raw) > maxConfig {
		return nil, errors.Errorf("configuration is larger than %d bytes", maxConfig)
	}
	return raw, nil
}

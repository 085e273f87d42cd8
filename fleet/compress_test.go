package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a configuration of many routes whose transfer over a small VM's
// link uses up much of the time within which it must be in force on every VM.
func TestCompressedConfigurationIsSmall(t *testing.T) {
	var b strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"host%d.example","pathPrefix":"/p%d/","service":"orders","timeoutS":5,"attempts":2},`, i, i%40, i)
	}
	raw := []byte(b.String())
	var p configCompressor
	data, err := p.compress(raw, 1, 1)
	require.NoError(t, err)
	t.Logf("%d bytes, compressed to %d", len(raw), len(data))
	require.Less(t, len(data), len(raw)/5)
	back, err := decompress(data)
	require.NoError(t, err)
	require.Equal(t, raw, back)
	again, err := p.compress(raw, 1, 1)
	require.NoError(t, err)
	require.Same(t, &data[0], &again[0], "a configuration must be compressed only once for all VMs")
	newer, err := p.compress(raw[:100], 2, 1)
	require.NoError(t, err)
	back, err = decompress(newer)
	require.NoError(t, err)
	require.Equal(t, raw[:100], back)
}

// Guards against data that is not gzip or is truncated, and against data that
// decompresses to an unbounded size.
func TestDecompressedConfigurationIsBounded(t *testing.T) {
	_, err := decompress([]byte("x"))
	require.Error(t, err)
	var p configCompressor
	data, err := p.compress(make([]byte, maxConfigBytes+1), 1, 1)
	require.NoError(t, err)
	_, err = decompress(data)
	require.Error(t, err)
	_, err = decompress(data[:len(data)/2])
	require.Error(t, err)
}

package httphead

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// soundHeads are responses whose heads are well-formed.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200\r\nContent-Length:4\r\n\r\nbody",
	"HTTP/1.1 200 \r\n\r\n\x00any bytes\n",
	"HTTP/1.0 200 Very Well\r\nX:\r\nY: \r\nZ:  a \t b  \r\n\r\nbody",
	"HTTP/1.1 503 \xe4\xf6\xfc\r\nX: \xe4\xf6\xfc\r\n\r\n",
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nX: a\r\nX: b: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 200 OK\nX: a\nContent-Length: 4\n\nbody\r\n",
}

// Guards against refusing a sound response, whatever the sizes of the reads are.
func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, text := range soundHeads {
		for size := 1; size <= len(text); size++ {
			var c Checker
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				taken, err := c.Check([]byte(rest[:n]))
				require.NoError(t, err, "%q", text)
				require.Equal(t, n, taken)
				rest = rest[n:]
			}
			require.Equal(t, behindHead, c.part, "%q", text)
		}
	}
}

// Guards against a byte that does not belong into a name, at any place in it, and against
// an error that depends on how the head arrives.
func TestBytesOutsideTokensAreRejectedInNames(t *testing.T) {
	for b := range 256 {
		char := string([]byte{byte(b)})
		if httpguts.IsTokenRune(rune(b)) || char == ":" {
			continue
		}
		for _, name := range []string{char + "Name", "Na" + char + "me", "Name" + char} {
			for _, before := range []string{"", "X: a\r\n", "X:\r\n"} {
				start := "HTTP/1.1 200 OK\r\n" + before
				text := start + name + ": value\r\n\r\n"
				var whole, single Checker
				n, err := whole.Check([]byte(text))
				require.Error(t, err, "%q", text)
				require.GreaterOrEqual(t, n, len(start))
				require.Less(t, n, len(start)+len(name)+len(": value"))
				for i := range len(text) {
					_, singleErr := single.Check([]byte{text[i]})
					require.Equal(t, i >= n, singleErr != nil, "byte %d of %q", i, text)
				}
			}
		}
	}
}

// Guards against lines that other readers take for something else.
func TestMalformedLinesAreRejected(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\n",
		"HTTP/1.1 200 OK\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\nY: b\r\n\r\n",
		"HTTP/1.1 200 OK\nX: a\r\nY: b\n\n",
		"HTTP/1.1 200 OK\rX: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\rY: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\x00b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\x7f\r\n\r\n",
		"HTTP/1.1 200 O\x01K\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\r\n\r\n",
		"HTTP/1.1 200 OK\r\n: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n\r\n",
		"HTTP/1.1 200 OK\r\n \r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX : a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX : a\r\n\r\n",
	} {
		var c Checker
		n, err := c.Check([]byte(text))
		require.Error(t, err, "%q", text)
		require.Less(t, n, len(text), "%q", text)
		_, again := c.Check([]byte("HTTP"))
		require.Equal(t, err, again)
	}
}

// Guards against a body with two ends, and against one whose chunks net/http does not
// decode, since HTTP/1.0 has none.
func TestContradictoryFramingIsRejected(t *testing.T) {
	for text, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nX: a\r\nTRANSFER-encoding: chunked\r\n\r\n":                   false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                                false,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: a\r\n\r\n": false,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: a\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n":                                                         true,
		"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n":                                             true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding-X: a\r\nContent-Length: 4\r\n\r\n":                               true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Content-Length: 4\r\n\r\n":                         true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 4\r\n\r\n":                       true,
	} {
		var c Checker
		n, err := c.Check([]byte(text))
		require.Equal(t, sound, err == nil, "%q: %v", text, err)
		if !sound {
			require.Less(t, n, len(text))
		}
	}
}

// Guards against a head that is accepted although net/http reads other fields in it, and
// against an error that depends on the sizes of the reads.
func FuzzChecker(f *testing.F) {
	for _, text := range soundHeads {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nX: a\r\n Y: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX : a\r\n\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, single Checker
		n, err := whole.Check(text)
		head := 0
		for i := range n {
			_, singleErr := single.Check(text[i : i+1])
			require.NoError(t, singleErr)
			if head == 0 && single.part == behindHead {
				head = i + 1
			}
		}
		if err != nil {
			_, singleErr := single.Check(text[n : n+1])
			require.Error(t, singleErr)
		}
		resp, readErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if head == 0 || readErr != nil || resp.StatusCode < 200 {
			return
		}
		lines := bytes.Split(text[:head], []byte("\n"))
		for name, values := range resp.Header {
			require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			for _, v := range values {
				require.True(t, slices.ContainsFunc(lines, func(line []byte) bool {
					got, value, _ := bytes.Cut(line, []byte(":"))
					return http.CanonicalHeaderKey(string(got)) == name && string(bytes.Trim(value, " \t\r")) == v
				}), "%q: %q in %q", name, v, text)
			}
		}
	})
}

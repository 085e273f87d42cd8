package callerkey

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"strings"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of body in big-endian order. It detects typing
// errors and does not protect against forgery. The CRC is computed here because
// crc32.Checksum takes a byte slice, which would be allocated for each request.
func checksum(body string) [crc32.Size]byte {
	c := ^uint32(0)
	for i := range len(body) {
		c = castagnoli[byte(c)^body[i]] ^ (c >> 8)
	}
	return [crc32.Size]byte(binary.BigEndian.AppendUint32(make([]byte, 0, crc32.Size), ^c))
}

// parse splits the text form and returns the claimed id and the hash of the
// secret. It allocates nothing.
func parse(text, environment string) (ID, Hash, error) {
	var id ID
	if text == "" {
		return id, Hash{}, ErrMissing
	}
	envLen := len(text) - len(Prefix) - suffixLen
	if envLen < 1 || envLen > MaxEnvironmentLen || !strings.HasPrefix(text, Prefix) {
		return id, Hash{}, ErrMalformed
	}
	env, suffix := text[len(Prefix):len(Prefix)+envLen], text[len(Prefix)+envLen:]
	const secretOffset = 1 + 2*idBytes + 1
	const checksumOffset = secretOffset + 2*secretBytes + 1
	if suffix[0] != '_' || suffix[secretOffset-1] != '_' || suffix[checksumOffset-1] != '_' {
		return id, Hash{}, ErrMalformed
	}
	var sum [crc32.Size]byte
	var secret [secretBytes]byte
	if !unhex(id[:], suffix[1:secretOffset-1]) || !unhex(secret[:], suffix[secretOffset:checksumOffset-1]) || !unhex(sum[:], suffix[checksumOffset:]) {
		return id, Hash{}, ErrMalformed
	}
	if sum != checksum(text[:len(text)-2*crc32.Size-1]) {
		return id, Hash{}, ErrChecksum
	}
	if env != environment {
		return id, Hash{}, ErrEnvironment
	}
	return id, sha256.Sum256(secret[:]), nil
}

// unhex decodes s, which must have twice the length of dst, and reports success.
// It accepts only lower-case digits, so that every key has exactly one text form.
func unhex(dst []byte, s string) bool {
	for i := range dst {
		high, low := nibble(s[2*i]), nibble(s[2*i+1])
		if high > 15 || low > 15 {
			return false
		}
		dst[i] = high<<4 | low
	}
	return true
}

func nibble(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10
	}
	return 255
}

// Redact replaces every caller key in s by its redacted form. Use it on text from
// outside this process before logging or storing it.
func Redact(s string) string {
	var b strings.Builder
	for {
		i := strings.Index(s, Prefix)
		if i < 0 {
			break
		}
		end := i + len(Prefix)
		for end < len(s) && isKeyChar(s[end]) {
			end++
		}
		b.WriteString(s[:i] + redactKey(s[i:end]))
		s = s[end:]
	}
	b.WriteString(s)
	return b.String()
}

// redactKey returns the redacted form of a key, which keeps its environment and
// its id. It keeps neither if the text has no id or no secret.
func redactKey(key string) string {
	parts := strings.SplitN(key[len(Prefix):], "_", 3)
	if len(parts) < 3 || len(parts[1]) != 2*idBytes {
		return Prefix + "redacted"
	}
	return Prefix + parts[0] + "_" + parts[1] + "_redacted"
}

func isKeyChar(c byte) bool {
	return c == '_' || c == '-' || '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

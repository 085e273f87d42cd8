package tomlcheck

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is decoded from and encoded to text as in
// time.ParseDuration, such as "500ms" or "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"500ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration as time.Duration formats it, such as "1m30s".
func (d Duration) String() string { return time.Duration(d).String() }

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// ByteSize is a number of bytes. Its text form is a non-negative whole number,
// optionally followed by KiB, MiB or GiB.
type ByteSize int64

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ByteSize) UnmarshalText(text []byte) error {
	digits, factor := string(text), int64(1)
	for _, u := range byteUnits {
		if rest, ok := strings.CutSuffix(digits, u.suffix); ok {
			digits, factor = strings.TrimSpace(rest), u.factor
			break
		}
	}
	v, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || v < 0 || v > math.MaxInt64/factor {
		return fmt.Errorf("%q is not a size such as 65536, \"64KiB\" or \"1GiB\"", text)
	}
	*s = ByteSize(v * factor)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s ByteSize) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the text form with the largest unit of which the value is a
// multiple, such as "64KiB".
func (s ByteSize) String() string {
	for _, u := range byteUnits {
		if s > 0 && int64(s)%u.factor == 0 {
			return strconv.FormatInt(int64(s)/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10)
}

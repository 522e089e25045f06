package tomldoc

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Has reports whether the table has a key.
func (t *Table) Has(key string) bool { return t.find(key) != nil }

// ReportUnknownKeys reports every key that nothing has read.
func (t *Table) ReportUnknownKeys() {
	for _, e := range t.entries {
		if !e.read {
			t.doc.report(e.line, t.Path(e.key), "unknown key: expected one of the documented keys")
		}
	}
}

// scalar returns the text of a required key, reporting a missing key or
// another type.
func (t *Table) scalar(key string, kind unstable.Kind, expected fmt.Stringer) (string, bool) {
	e := t.find(key)
	if e == nil {
		t.Report(key, "is missing: expected %s", expected)
		return "", false
	}
	e.read = true
	if e.value.kind != kind {
		t.Report(key, "is %s: expected %s", e.value.kindName(), expected)
		return "", false
	}
	return e.value.text, true
}

// String returns a string that is not empty.
func (t *Table) String(key string) (string, bool) {
	const expected = text("a string that is not empty")
	s, ok := t.scalar(key, unstable.String, expected)
	if ok && s == "" {
		t.Report(key, "is empty: expected %s", expected)
	}
	return s, ok && s != ""
}

// Choice returns a string that is one of a list.
func (t *Table) Choice(key string, choices ...string) (string, bool) {
	expected := oneOf(choices)
	s, ok := t.scalar(key, unstable.String, expected)
	if !ok {
		return "", false
	}
	if !slices.Contains(choices, s) {
		t.Report(key, "is %q: expected %s", s, expected)
		return "", false
	}
	return s, true
}

// Bool returns a boolean.
func (t *Table) Bool(key string) (bool, bool) {
	s, ok := t.scalar(key, unstable.Bool, text("true or false"))
	return s == "true", ok
}

// Int returns an integer within bounds.
func (t *Table) Int(key string, low, high int64) (int64, bool) {
	expected := intRange{low, high}
	s, ok := t.scalar(key, unstable.Integer, expected)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(s, "_", ""), 0, 64)
	if err != nil || leadingZero(s) || n < low || n > high {
		t.Report(key, "is %s: expected %s", s, expected)
		return 0, false
	}
	return n, true
}

// Float returns a number within bounds, written with or without a fraction.
func (t *Table) Float(key string, low, high float64) (float64, bool) {
	expected := floatRange{low, high}
	kind := unstable.Float
	if e := t.find(key); e != nil && e.value.kind == unstable.Integer {
		kind = unstable.Integer
	}
	s, ok := t.scalar(key, kind, expected)
	if !ok {
		return 0, false
	}
	f, err := strconv.ParseFloat(strings.ReplaceAll(s, "_", ""), 64)
	if err != nil || leadingZero(s) || !(f >= low && f <= high) {
		t.Report(key, "is %s: expected %s", s, expected)
		return 0, false
	}
	return f, true
}

// leadingZero reports a decimal such as 010, which TOML forbids and which Go
// would read as octal.
func leadingZero(s string) bool {
	s = strings.TrimLeft(s, "+-")
	return len(s) > 1 && s[0] == '0' && s[1] >= '0' && s[1] <= '9'
}

// Duration returns a duration within bounds, written with its unit.
func (t *Table) Duration(key string, low, high time.Duration) (time.Duration, bool) {
	expected := durationRange{low, high}
	s, ok := t.scalar(key, unstable.String, expected)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	// ParseDuration accepts "0" without a unit.
	if err != nil || s == strings.TrimRight(s, "hmsuµμn") || d < low || d > high {
		t.Report(key, "is %q: expected %s", s, expected)
		return 0, false
	}
	return d, true
}

// Address returns an IP number with a port.
func (t *Table) Address(key string) (netip.AddrPort, bool) {
	const expected = text(`an IP number and a port, such as "10.0.0.7:7100"`)
	s, ok := t.scalar(key, unstable.String, expected)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, valid := ParseAddress(s)
	if !valid {
		t.Report(key, "is %q: expected %s", s, expected)
	}
	return addr, valid
}

// ParseAddress reads an IP number with a port in its canonical form. An
// address that names no single host is refused.
func ParseAddress(s string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		return netip.AddrPort{}, false
	}
	ip := addr.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, addr.Port()), true
}

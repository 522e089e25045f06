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

// ReportUnknownKeys reports every key of the table that has not been read.
func (t *Table) ReportUnknownKeys() {
	for _, e := range t.entries {
		if !e.read {
			t.doc.report(e.line, t.Path(e.key), "unknown key: expected one of the documented keys")
		}
	}
}

// require returns the text of a required key. It reports a missing key or a value
// of another type.
func (t *Table) require(key string, kind unstable.Kind, expected fmt.Stringer) (string, bool) {
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

// String returns the value of a required key, a string that is not empty.
func (t *Table) String(key string) (string, bool) {
	const expected = expectedText("a string that is not empty")
	s, ok := t.require(key, unstable.String, expected)
	if ok && s == "" {
		t.Report(key, "is empty: expected %s", expected)
	}
	return s, ok && s != ""
}

// Choice returns the value of a required key, one of a list of strings.
func (t *Table) Choice(key string, choices ...string) (string, bool) {
	expected := oneOf(choices)
	s, ok := t.require(key, unstable.String, expected)
	if !ok {
		return "", false
	}
	if !slices.Contains(choices, s) {
		t.Report(key, "is %q: expected %s", s, expected)
		return "", false
	}
	return s, true
}

// Bool returns the value of a required key, a boolean.
func (t *Table) Bool(key string) (bool, bool) {
	s, ok := t.require(key, unstable.Bool, expectedText("true or false"))
	return s == "true", ok
}

// Int returns the value of a required key, an integer from low to high.
func (t *Table) Int(key string, low, high int64) (int64, bool) {
	expected := intRange{low, high}
	s, ok := t.require(key, unstable.Integer, expected)
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

// Float returns the value of a required key, a number from low to high. It accepts
// integers.
func (t *Table) Float(key string, low, high float64) (float64, bool) {
	expected := floatRange{low, high}
	kind := unstable.Float
	if e := t.find(key); e != nil && e.value.kind == unstable.Integer {
		kind = unstable.Integer
	}
	s, ok := t.require(key, kind, expected)
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

// leadingZero reports whether a number has a leading zero, such as 010. TOML
// forbids it, and Go would parse the number as octal.
func leadingZero(s string) bool {
	s = strings.TrimLeft(s, "+-")
	return len(s) > 1 && s[0] == '0' && s[1] >= '0' && s[1] <= '9'
}

// Duration returns the value of a required key, a duration with a unit from low to
// high.
func (t *Table) Duration(key string, low, high time.Duration) (time.Duration, bool) {
	expected := durationRange{low, high}
	s, ok := t.require(key, unstable.String, expected)
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

// Address returns the value of a required key, an IP address with a port.
func (t *Table) Address(key string) (netip.AddrPort, bool) {
	const expected = expectedText(`an IP number and a port, such as "10.0.0.7:7100"`)
	s, ok := t.require(key, unstable.String, expected)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, valid := ParseAddress(s)
	if !valid {
		t.Report(key, "is %q: expected %s", s, expected)
	}
	return addr, valid
}

// ParseAddress parses an IP address with a port and returns it in canonical form.
// It returns false for addresses that don't identify a single host, such as
// unspecified and multicast addresses.
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

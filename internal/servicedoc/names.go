package servicedoc

import "strings"

// maxNameBytes keeps names usable as store keys and metric names.
const maxNameBytes = 128

const nameExpected = "letters, digits, '-', '_' and '.' (at most 128, not starting or ending with '.')"

// validName reports whether a name can be part of a store key.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '.' || s[len(s)-1] == '.' || strings.Contains(s, "..") {
		return false
	}
	for i := range len(s) {
		if !nameByte(s[i]) {
			return false
		}
	}
	return true
}

func nameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// validIndexName reports whether a name fits into a section name, in which
// dots separate the parts.
func validIndexName(s string) bool { return validName(s) && !strings.Contains(s, ".") }

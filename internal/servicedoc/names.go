package servicedoc

import "strings"

// maxNameBytes keeps names short enough for store keys and metric names.
const maxNameBytes = 128

const nameExpected = "letters, digits, '-', '_' and '.' (at most 128, not starting or ending with '.')"

// validName reports whether a string can be used as a name and as part of a
// store key.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '.' || s[len(s)-1] == '.' || strings.Contains(s, "..") {
		return false
	}
	for i := range len(s) {
		if !validNameByte(s[i]) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// validIndexName reports whether an index name can be a component of a section
// name, whose components are separated by dots.
func validIndexName(s string) bool { return validName(s) && !strings.Contains(s, ".") }

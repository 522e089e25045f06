package servicedoc

import "strings"

// MaxSectionBytes is the maximum length of a section text. The store limits values
// to 1 MB.
const MaxSectionBytes = 1_000_000

// Section is one named part of the service document.
type Section struct {
	Name string
	Text []byte
}

// Kind is what a section describes.
type Kind string

// Kinds of sections.
const (
	KindZones   Kind = "zones"
	KindIndex   Kind = "index"
	KindClasses Kind = "classes"
	KindOwners  Kind = "owners"
)

// KindOf returns the kind that a section of this name must have, or false if the
// name is not valid. The name determines the kind because ownership is assigned by
// name: otherwise the owner of an index could put an owner list into its section.
func KindOf(section string) (Kind, bool) {
	if !validName(section) {
		return "", false
	}
	parts := strings.Split(section, ".")
	switch kind := Kind(parts[0]); kind {
	case KindZones, KindOwners:
		return kind, len(parts) == 1
	case KindIndex:
		return kind, len(parts) == 2 || len(parts) == 3 && isPartNumber(parts[2])
	case KindClasses:
		return kind, len(parts) <= 3 && (len(parts) < 3 || isPartNumber(parts[2]))
	}
	return "", false
}

// baseName returns a section's name without its part number.
func baseName(section string) string {
	i := strings.LastIndexByte(section, '.')
	if i < 0 || !isPartNumber(section[i+1:]) {
		return section
	}
	return section[:i]
}

// isPartNumber reports whether a component of a section's name is a part number:
// 1 to 9999 without leading zeros.
func isPartNumber(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != "" && s[0] != '0' && len(s) <= 4
}

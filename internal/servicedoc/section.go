package servicedoc

import "strings"

// MaxSectionBytes is the longest section text: the store holds values of up to
// 1 MB.
const MaxSectionBytes = 1_000_000

// Section is one named part of the service document.
type Section struct {
	Name string
	Text []byte
}

// Kind tells what a section describes.
type Kind string

// Kinds of sections.
const (
	KindZones   Kind = "zones"
	KindIndex   Kind = "index"
	KindClasses Kind = "classes"
	KindOwners  Kind = "owners"
)

// KindOf returns the kind that a section of this name must have. The name
// decides, since ownership goes by name: otherwise the owner of one index
// could write an owner list into its section.
func KindOf(section string) (Kind, bool) {
	if !validName(section) {
		return "", false
	}
	parts := strings.Split(section, ".")
	switch kind := Kind(parts[0]); kind {
	case KindZones, KindOwners:
		return kind, len(parts) == 1
	case KindIndex:
		return kind, len(parts) == 2 || len(parts) == 3 && isPart(parts[2])
	case KindClasses:
		return kind, len(parts) <= 3 && (len(parts) < 3 || isPart(parts[2]))
	}
	return "", false
}

// base returns a section's name without the number of its part.
func base(section string) string {
	i := strings.LastIndexByte(section, '.')
	if i < 0 || !isPart(section[i+1:]) {
		return section
	}
	return section[:i]
}

func isPart(s string) bool {
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != "" && s[0] != '0' && len(s) <= 4
}

package configedit

import (
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

// Edit is a team's request to change, add or remove one section.
type Edit struct {
	// ID is unique to each edit and part of a store key.
	ID      string
	Section string
	Team    string
	// BaseEditID is the edit ID of the version that the text was derived from,
	// empty for a new section. The edit is rejected if the section has changed
	// since: otherwise two operators of a team could undo each other's edits.
	BaseEditID string
	Text       []byte
	// Remove removes the section from the document; Text is then empty.
	Remove bool
	// At is the editor's wall time in Unix milliseconds.
	At int64
}

// Base is the generation that an edit is applied to.
type Base struct {
	Manifest confsync.Manifest
	// Sections holds the texts of the manifest's sections in the same order.
	Sections []servicedoc.Section
}

// textsMatchManifest reports whether the names and hashes of the sections match
// the manifest.
func (b Base) textsMatchManifest() bool {
	if len(b.Sections) != len(b.Manifest.Sections) {
		return false
	}
	for i, ref := range b.Manifest.Sections {
		if b.Sections[i].Name != ref.Name || confsync.HashText(b.Sections[i].Text) != ref.Hash {
			return false
		}
	}
	return true
}

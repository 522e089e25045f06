package configedit

import (
	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

// Edit is what a team asks for.
type Edit struct {
	// ID is unique for each edit and part of a store key.
	ID      string
	Section string
	Team    string
	// BaseEditID is the edit ID of the version that the text was derived from,
	// empty for a new section. A section that has changed since is refused,
	// or one of two operators of a team would undo the other's edit.
	BaseEditID string
	Text       []byte
	// Remove takes the section out of the document; Text is then empty.
	Remove bool
	// At is the editor's wall time in Unix milliseconds.
	At int64
}

// Base is the generation that an edit goes on top of.
type Base struct {
	Manifest confsync.Manifest
	// Sections are the texts of the manifest's sections in its order.
	Sections []servicedoc.Section
}

// matches reports whether the texts are those of the manifest.
func (b Base) matches() bool {
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

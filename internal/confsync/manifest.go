package confsync

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxEdits is the number of edits that a manifest lists. An editor whose update
// got no reply looks for its edit among them.
const MaxEdits = 64

// ManifestKey is the key of the store object that holds the manifest.
const ManifestKey = "manifest"

// SectionKey returns the key of the store object that holds a section version.
func SectionKey(name, editID string) string { return "section/" + name + "/" + editID }

// Manifest describes one accepted configuration. It is stored as JSON and must
// not be modified after it is built.
type Manifest struct {
	// Generation increases by one with each accepted edit; 0 means none.
	Generation uint64 `json:"generation" msgpack:"g"`
	// Sections are sorted by name in ascending order.
	Sections []SectionRef `json:"sections" msgpack:"s"`
	// Edits are the last MaxEdits accepted edits, oldest first.
	Edits []Edit `json:"edits" msgpack:"e"`
	// InlineText is the text of the last edit if it is short. It saves a watcher
	// a second read, which fails if the store goes down in between. Only the
	// object in the store has it: agents keep texts separately.
	InlineText *SectionText `json:"newest,omitempty" msgpack:"-"`
}

// MaxInlineTextBytes limits the text in a manifest. Each watcher reads the
// manifest about once a second and may use 23 KB/s for all its control traffic.
const MaxInlineTextBytes = 8 << 10

// SectionText is the text of one section version.
type SectionText struct {
	Name   string `json:"name"`
	EditID string `json:"edit_id"`
	Text   []byte `json:"text"`
}

// SectionRef identifies one immutable version of a section.
type SectionRef struct {
	Name   string `json:"name" msgpack:"n"`
	EditID string `json:"edit_id" msgpack:"e"`
	// Hash is HashText of the text. It is a string in JSON because many tools
	// read JSON numbers exactly only up to 2^53.
	Hash uint64 `json:"hash,string" msgpack:"h"`
}

// Edit records an accepted edit.
type Edit struct {
	Generation uint64 `json:"generation" msgpack:"g"`
	EditID     string `json:"edit_id" msgpack:"e"`
	Section    string `json:"section" msgpack:"s"`
	Team       string `json:"team" msgpack:"t"`
	// At is the editor's wall time in Unix milliseconds.
	At int64 `json:"at" msgpack:"a"`
}

// HashText returns the hash of a section's text.
func HashText(text []byte) uint64 { return xxhash.Sum64(text) }

// Find returns the version of a section in this manifest.
func (m Manifest) Find(section string) (SectionRef, bool) {
	i, ok := slices.BinarySearchFunc(m.Sections, section, func(r SectionRef, name string) int {
		switch {
		case r.Name < name:
			return -1
		case r.Name > name:
			return 1
		}
		return 0
	})
	if !ok {
		return SectionRef{}, false
	}
	return m.Sections[i], true
}

// Valid reports whether the section names are in ascending order without
// duplicates.
func (m Manifest) Valid() bool {
	for i := 1; i < len(m.Sections); i++ {
		if m.Sections[i-1].Name >= m.Sections[i].Name {
			return false
		}
	}
	return true
}

// Encode returns the JSON form of the manifest that the store holds.
func (m Manifest) Encode() ([]byte, error) {
	text, err := json.Marshal(m)
	return text, errors.Wrap(err, "encode manifest")
}

// DecodeManifest decodes and validates a manifest that was read from the store.
func DecodeManifest(text []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "decode manifest")
	}
	if !m.Valid() {
		return Manifest{}, errors.Errorf("manifest of generation %d: sections are not in ascending order of names", m.Generation)
	}
	return m, nil
}

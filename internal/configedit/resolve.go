package configedit

import (
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// Outcome is the status of an edit with its details.
type Outcome struct {
	Status Status
	// Generation is the generation that accepted the edit. It is 0 if the edit
	// was accepted but the manifest no longer lists it.
	Generation uint64
	// ConflictingEdit is the last other edit of the section, set with Conflict.
	ConflictingEdit confsync.Edit
}

// Resolve determines the outcome of an edit from the manifest that its conditional
// update was meant to replace and from the one that is in the store now.
func Resolve(replaced, current confsync.Manifest, e Edit) Outcome {
	if i := slices.IndexFunc(current.Edits, e.sameID); i >= 0 {
		return Outcome{Status: Accepted, Generation: current.Edits[i].Generation}
	}
	if current.Generation == replaced.Generation {
		return Outcome{Status: RetryUpdate}
	}
	between, complete := editsSince(current, replaced.Generation)
	if !complete {
		return resolveByVersion(replaced, current, e)
	}
	for _, other := range slices.Backward(between) {
		if other.Section == e.Section {
			return Outcome{Status: Conflict, ConflictingEdit: other}
		}
	}
	return Outcome{Status: Rebase}
}

// editsSince returns the listed edits after a generation, and whether the manifest
// lists all of them.
func editsSince(m confsync.Manifest, generation uint64) ([]confsync.Edit, bool) {
	var out []confsync.Edit
	for _, edit := range m.Edits {
		if edit.Generation > generation {
			out = append(out, edit)
		}
	}
	return out, m.Generation > generation && uint64(len(out)) == m.Generation-generation
}

// resolveByVersion compares the versions of the section when the manifest no longer
// lists all edits. Edit IDs are never reused, so a section that still has the
// version from before the edit can't have had the edit's version in between.
func resolveByVersion(replaced, current confsync.Manifest, e Edit) Outcome {
	before, existed := replaced.Find(e.Section)
	now, exists := current.Find(e.Section)
	switch {
	case current.Generation < replaced.Generation:
		return Outcome{Status: Unknown}
	case exists && now.EditID == e.ID:
		return Outcome{Status: Accepted}
	case existed && exists && now.EditID == before.EditID:
		return Outcome{Status: Rebase}
	}
	return Outcome{Status: Unknown}
}

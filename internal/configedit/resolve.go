package configedit

import (
	"slices"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// Outcome is a verdict with what is known of it.
type Outcome struct {
	Status Status
	// Generation is the one that accepted the edit. It is 0 when the edit is
	// accepted but so long ago that the manifest no longer lists it.
	Generation uint64
	// ConflictingEdit is the edit that changed the section, for a conflict.
	ConflictingEdit confsync.Edit
}

// Resolve tells what became of an edit from the manifest that its conditional
// update was to replace and from the one that is in the store now.
func Resolve(replaced, current confsync.Manifest, e Edit) Outcome {
	if i := slices.IndexFunc(current.Edits, e.is); i >= 0 {
		return Outcome{Status: Accepted, Generation: current.Edits[i].Generation}
	}
	if current.Generation == replaced.Generation {
		return Outcome{Status: RetryUpdate}
	}
	between, complete := since(current, replaced.Generation)
	if !complete {
		return byVersion(replaced, current, e)
	}
	for _, other := range slices.Backward(between) {
		if other.Section == e.Section {
			return Outcome{Status: Conflict, ConflictingEdit: other}
		}
	}
	return Outcome{Status: Rebase}
}

// since returns the edits after a generation, and whether the manifest lists
// all of them.
func since(m confsync.Manifest, generation uint64) ([]confsync.Edit, bool) {
	var out []confsync.Edit
	for _, edit := range m.Edits {
		if edit.Generation > generation {
			out = append(out, edit)
		}
	}
	return out, m.Generation > generation && uint64(len(out)) == m.Generation-generation
}

// byVersion compares the versions of the section when the list of edits is too
// short. Edit IDs are never used twice, so a section that still has the
// version from before the edit can't have had the edit's version in between.
func byVersion(replaced, current confsync.Manifest, e Edit) Outcome {
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

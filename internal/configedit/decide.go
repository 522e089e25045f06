package configedit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

// Decide returns the next manifest with the edit applied, or the problems for
// which the edit is rejected. It checks the whole document with the edit applied,
// since two edits that are each valid can be invalid together. The base is not
// modified.
func Decide(base Base, e Edit) (confsync.Manifest, servicedoc.Problems) {
	if message := rejectionReason(base, e); message != "" {
		return confsync.Manifest{}, servicedoc.Problems{{Section: e.Section, Message: message}}
	}
	if _, problems := servicedoc.Check(applyEdit(base.Sections, e)); len(problems) > 0 {
		return confsync.Manifest{}, problems
	}
	return nextManifest(base.Manifest, e), nil
}

// rejectionReason returns why an edit is rejected regardless of its text, or an
// empty string if it isn't.
func rejectionReason(base Base, e Edit) string {
	current, exists := base.Manifest.Find(e.Section)
	switch {
	case !validEditID(e.ID):
		return fmt.Sprintf("the edit ID %q can't be part of a store key: expected up to 64 letters, digits and '-'", e.ID)
	case slices.ContainsFunc(base.Manifest.Edits, e.sameID):
		return fmt.Sprintf("the edit ID %q is already in use: expected a new one for each edit", e.ID)
	case !base.textsMatchManifest():
		return fmt.Sprintf("the section texts don't match generation %d", base.Manifest.Generation)
	case !servicedoc.MayEdit(base.Sections, e.Section, e.Team):
		return fmt.Sprintf("team %q may not edit the section: expected a team that section %q names for it", e.Team, servicedoc.KindOwners)
	case e.BaseEditID != current.EditID:
		return fmt.Sprintf("the text was derived from version %q, and the current one is %q: expected an edit of the current version", e.BaseEditID, current.EditID)
	case e.Remove && !exists:
		return "the section doesn't exist: expected the name of a section to remove"
	case e.Remove && e.Section == string(servicedoc.KindOwners):
		return "the owner list can't be removed: without it every team could edit every section"
	}
	return ""
}

// sameID reports whether a recorded edit has the ID of e.
func (e Edit) sameID(recorded confsync.Edit) bool { return recorded.EditID == e.ID }

const maxEditIDBytes = 64

func validEditID(id string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-"
	return id != "" && len(id) <= maxEditIDBytes && strings.Trim(id, allowed) == ""
}

// applyEdit returns a copy of the document with the edit applied.
func applyEdit(current []servicedoc.Section, e Edit) []servicedoc.Section {
	out := slices.DeleteFunc(slices.Clone(current), func(s servicedoc.Section) bool { return s.Name == e.Section })
	if !e.Remove {
		out = append(out, servicedoc.Section{Name: e.Section, Text: e.Text})
	}
	return out
}

// nextManifest returns the manifest of the next generation, with the edit applied.
func nextManifest(m confsync.Manifest, e Edit) confsync.Manifest {
	generation := m.Generation + 1
	refs := slices.DeleteFunc(slices.Clone(m.Sections), func(r confsync.SectionRef) bool { return r.Name == e.Section })
	if !e.Remove {
		refs = append(refs, confsync.SectionRef{Name: e.Section, EditID: e.ID, Hash: confsync.HashText(e.Text)})
	}
	slices.SortFunc(refs, func(a, b confsync.SectionRef) int { return cmp.Compare(a.Name, b.Name) })
	edits := append(slices.Clone(m.Edits), confsync.Edit{
		Generation: generation, EditID: e.ID, Section: e.Section, Team: e.Team, At: e.At,
	})
	edits = edits[max(0, len(edits)-confsync.MaxEdits):]
	return confsync.Manifest{Generation: generation, Sections: refs, Edits: edits, InlineText: inlineText(e)}
}

// inlineText returns the text of an edit if it is short enough for the manifest,
// or nil.
func inlineText(e Edit) *confsync.SectionText {
	if e.Remove || len(e.Text) > confsync.MaxInlineTextBytes {
		return nil
	}
	return &confsync.SectionText{Name: e.Section, EditID: e.ID, Text: e.Text}
}

package configedit

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
)

const (
	zonesText  = "kind = \"zones\"\n[[zone]]\nname = \"%s\"\nregion = \"r\"\nstate = \"in\"\n"
	ownersText = "kind = \"owners\"\n[[owner]]\nsection = \"owners\"\nteam = \"ops\"\n[[owner]]\nsection = \"zones\"\nteam = \"ops\"\n[[owner]]\nsection = \"index.*\"\nteam = \"search\"\n"
)

// indexText returns an index section with one leaf at the given port.
func indexText(index string, port int) []byte {
	return []byte(fmt.Sprintf("kind = \"index\"\nindex = %[1]q\npartition_generation = 1\n[limits]\nslots = 2\nconnections = 25\nrun_limit = \"2s\"\n"+
		"[[shard]]\nname = \"%[1]s-0\"\nweight = 1\n[[shard.leaf]]\nname = \"%[1]s-0-a\"\nzone = \"z\"\naddress = \"127.0.0.1:%[2]d\"\n", index, port))
}

// acceptEdit decides an edit on top of its current section version and returns the
// resulting base.
func acceptEdit(t testing.TB, base Base, e Edit) Base {
	t.Helper()
	if ref, ok := base.Manifest.Find(e.Section); ok && e.BaseEditID == "" {
		e.BaseEditID = ref.EditID
	}
	m, problems := Decide(base, e)
	assert.NilError(t, problems.Err())
	return applyManifest(base, m, e)
}

// applyManifest returns the base of the manifest that Decide returned for an edit.
func applyManifest(base Base, m confsync.Manifest, e Edit) Base {
	texts := map[string][]byte{e.Section: e.Text}
	for _, s := range base.Sections {
		if s.Name != e.Section {
			texts[s.Name] = s.Text
		}
	}
	out := Base{Manifest: m}
	for _, ref := range m.Sections {
		out.Sections = append(out.Sections, servicedoc.Section{Name: ref.Name, Text: texts[ref.Name]})
	}
	return out
}

func testDocument(t testing.TB) Base {
	var base Base
	for i, e := range []Edit{
		{Section: "zones", Text: []byte(fmt.Sprintf(zonesText, "z"))},
		{Section: "owners", Text: []byte(ownersText)},
		{Section: "index.a", Text: indexText("a", 7001)},
		{Section: "index.b", Text: indexText("b", 7002)},
	} {
		e.ID, e.Team = fmt.Sprintf("first-%d", i), map[bool]string{true: "search", false: "ops"}[i > 1]
		base = acceptEdit(t, base, e)
	}
	return base
}

func newEdit(id, section, from string, text []byte) Edit {
	return Edit{ID: id, Section: section, Team: "search", BaseEditID: from, Text: text, At: 5}
}

// Guards against accepting an edit that is unauthorized, that conflicts with other
// sections or that is based on an old version, and against modifying the base.
func TestDecide(t *testing.T) {
	zones := newEdit("e1", "zones", "first-0", []byte(fmt.Sprintf(zonesText, "other")))
	zones.Team = "ops"
	owners := newEdit("e1", "owners", "first-1", nil)
	owners.Team, owners.Remove = "ops", true
	remove := newEdit("e1", "index.b", "first-3", nil)
	remove.Remove = true
	absent := newEdit("e1", "index.c", "", nil)
	absent.Remove = true
	rows := []struct {
		name string
		edit Edit
		want string
	}{
		{"valid", newEdit("e1", "index.a", "first-2", indexText("a", 7005)), ""},
		{"new section", newEdit("e1", "index.c", "", indexText("c", 7005)), ""},
		{"removed section", remove, ""},
		{"another team", newEdit("e1", "zones", "first-0", []byte(fmt.Sprintf(zonesText, "z"))), `team "search" may not edit`},
		{"owner list in another section", newEdit("e1", "index.a", "first-2", []byte(ownersText)), `key "kind": is "owners"`},
		{"old version", newEdit("e1", "index.a", "first-0", indexText("a", 7005)), `derived from version "first-0"`},
		{"existing section as new", newEdit("e1", "index.a", "", indexText("a", 7005)), `derived from version ""`},
		{"address of another index", newEdit("e1", "index.a", "first-2", indexText("a", 7002)), `"127.0.0.1:7002" is already defined`},
		{"zone in use renamed", zones, `"z" is unknown`},
		{"used ID", newEdit("first-3", "index.a", "first-2", indexText("a", 7005)), "is already in use"},
		{"ID with a slash", newEdit("a/b", "index.a", "first-2", indexText("a", 7005)), "store key"},
		{"owner list removed", owners, "can't be removed"},
		{"absent section removed", absent, "doesn't exist"},
	}
	for _, row := range rows {
		base := testDocument(t)
		m, problems := Decide(base, row.edit)
		assert.DeepEqual(t, base, testDocument(t))
		if row.want != "" {
			assert.Equal(t, m.Generation, uint64(0), row.name)
			assert.Assert(t, strings.Contains(problems.Error(), row.want), "%s: %v", row.name, problems)
			continue
		}
		assert.NilError(t, problems.Err(), row.name)
		assert.Equal(t, m.Generation, base.Manifest.Generation+1)
		assert.Equal(t, m.Edits[len(m.Edits)-1].EditID, "e1")
		ref, ok := m.Find(row.edit.Section)
		assert.Equal(t, ok, !row.edit.Remove)
		assert.Assert(t, !ok || ref.Hash == confsync.HashText(row.edit.Text))
		assert.Assert(t, m.Valid())
	}
	mixed := testDocument(t)
	mixed.Sections[0], mixed.Sections[1] = mixed.Sections[1], mixed.Sections[0]
	_, problems := Decide(mixed, newEdit("e1", "index.a", "first-2", indexText("a", 7005)))
	assert.ErrorContains(t, problems.Err(), "don't match generation 4")
}

// Guards against accepting two edits that are each valid but invalid together.
func TestEditsInvalidTogether(t *testing.T) {
	base := testDocument(t)
	first := Edit{ID: "e1", Section: "index.a", Team: "search", BaseEditID: "first-2", Text: indexText("a", 7009)}
	other := newEdit("e2", "index.b", "first-3", indexText("b", 7009))
	_, problems := Decide(base, other)
	assert.NilError(t, problems.Err())
	after := acceptEdit(t, base, first)
	assert.Equal(t, Resolve(base.Manifest, after.Manifest, other).Status, Rebase)
	_, problems = Decide(after, other)
	assert.ErrorContains(t, problems.Err(), "7009")
}

package configedit

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// Guards against an edit that is applied twice, lost or reported with the wrong
// outcome after its update failed or the reply was lost.
func TestResolve(t *testing.T) {
	base := testDocument(t)
	mine := newEdit("mine", "index.a", "first-2", indexText("a", 7005))
	same := newEdit("same", "index.a", "first-2", indexText("a", 7006))
	other := newEdit("other", "index.b", "first-3", indexText("b", 7007))
	many := func(b Base, n int) Base {
		for i := range n {
			b = acceptEdit(t, b, newEdit(fmt.Sprintf("many-%d", i), "index.c", "", indexText("c", 8000+i)))
		}
		return b
	}
	later := newEdit("later", "index.a", "mine", indexText("a", 7008))
	rows := []struct {
		name       string
		current    Base
		want       Status
		generation uint64
		by         string
	}{
		{"not applied", base, RetryUpdate, 0, ""},
		{"reply lost after the write", acceptEdit(t, base, mine), Accepted, 5, ""},
		{"reply lost, others after it", many(acceptEdit(t, base, mine), 3), Accepted, 5, ""},
		{"reply lost, same section edited after it", acceptEdit(t, acceptEdit(t, base, mine), later), Accepted, 5, ""},
		{"another section first", acceptEdit(t, base, other), Rebase, 0, ""},
		{"same section first", many(acceptEdit(t, base, same), 2), Conflict, 0, "same"},
		{"64 others", many(base, 64), Rebase, 0, ""},
		{"applied, then 64 others", many(acceptEdit(t, base, mine), 64), Accepted, 0, ""},
		{"65 others", many(base, 65), Rebase, 0, ""},
		{"same section, then 64 others", many(acceptEdit(t, base, same), 64), Unknown, 0, ""},
		{"applied and edited, then 64 others", many(acceptEdit(t, acceptEdit(t, base, mine), later), 64), Unknown, 0, ""},
		{"an older manifest", Base{}, Unknown, 0, ""},
	}
	for _, row := range rows {
		got := Resolve(base.Manifest, row.current.Manifest, mine)
		want := Outcome{Status: row.want, Generation: row.generation}
		if row.by != "" {
			want.ConflictingEdit = confsync.Edit{Generation: 5, EditID: row.by, Section: "index.a", Team: "search", At: 5}
		}
		assert.DeepEqual(t, got, want)
	}
	created := newEdit("new", "index.d", "", indexText("d", 7010))
	assert.Equal(t, Resolve(base.Manifest, many(base, 65).Manifest, created).Status, Unknown)
}

// operator applies one edit in the same steps as medlarctl.
type operator struct {
	edit    Edit
	base    Base
	outcome Status
}

// Guards against edits of concurrent operators that are lost, applied twice or
// reported with the wrong outcome, when updates fail before or after they are
// applied.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := testDocument(t)
		start := store.Manifest.Generation
		var operators []*operator
		for i := range rapid.IntRange(2, 5).Draw(rt, "operators") {
			index := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "index")
			section := "index." + index
			ref, _ := store.Manifest.Find(section)
			e := newEdit(fmt.Sprintf("op-%d", i), section, ref.EditID, indexText(index, 7100+i))
			operators = append(operators, &operator{edit: e, base: store})
		}
		for range 200 {
			o := operators[rapid.IntRange(0, len(operators)-1).Draw(rt, "operator")]
			if o.outcome == "" {
				store = o.try(rt, store, rapid.SampledFrom([]string{"reply", "lost", "failed"}).Draw(rt, "update result"))
			}
		}
		applied := map[string]int{}
		for _, e := range store.Manifest.Edits {
			applied[e.EditID]++
		}
		accepted := uint64(0)
		for _, o := range operators {
			if o.outcome == Accepted {
				accepted++
			}
			if n := applied[o.edit.ID]; o.outcome != "" && n != map[bool]int{true: 1, false: 0}[o.outcome == Accepted] {
				rt.Fatalf("%s: outcome %s, applied %d times", o.edit.ID, o.outcome, n)
			}
		}
		if store.Manifest.Generation < start+accepted {
			rt.Fatalf("generation %d after %d accepted edits", store.Manifest.Generation, accepted)
		}
	})
}

// try sends one conditional update and resolves its outcome from a later read of
// the store, unless the update gets no reply and is not looked up yet.
func (o *operator) try(rt *rapid.T, store Base, result string) Base {
	m, problems := Decide(o.base, o.edit)
	if len(problems) > 0 {
		rt.Fatal(problems)
	}
	if result != "failed" && store.Manifest.Generation == o.base.Manifest.Generation {
		store = applyManifest(store, m, o.edit)
	}
	if result == "reply" || rapid.Bool().Draw(rt, "reread now") {
		switch out := Resolve(o.base.Manifest, store.Manifest, o.edit); out.Status {
		case Rebase:
			o.base = store
		case RetryUpdate:
		default:
			o.outcome = out.Status
		}
	}
	return store
}

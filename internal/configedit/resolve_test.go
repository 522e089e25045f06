package configedit

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/confsync"
)

// Guards against a lost or failed update whose edit is applied twice, lost, or
// reported with another outcome than it had.
func TestResolve(t *testing.T) {
	base := document(t)
	mine := edit("mine", "index.a", "first-2", indexText("a", 7005))
	same := edit("same", "index.a", "first-2", indexText("a", 7006))
	other := edit("other", "index.b", "first-3", indexText("b", 7007))
	many := func(b Base, n int) Base {
		for i := range n {
			b = accept(t, b, edit(fmt.Sprintf("many-%d", i), "index.c", "", indexText("c", 8000+i)))
		}
		return b
	}
	later := edit("later", "index.a", "mine", indexText("a", 7008))
	rows := []struct {
		name       string
		current    Base
		want       Status
		generation uint64
		by         string
	}{
		{"not applied", base, RetryUpdate, 0, ""},
		{"reply lost after the write", accept(t, base, mine), Accepted, 5, ""},
		{"reply lost, others after it", many(accept(t, base, mine), 3), Accepted, 5, ""},
		{"reply lost, same section edited after it", accept(t, accept(t, base, mine), later), Accepted, 5, ""},
		{"another section first", accept(t, base, other), Rebase, 0, ""},
		{"same section first", many(accept(t, base, same), 2), Conflict, 0, "same"},
		{"64 others", many(base, 64), Rebase, 0, ""},
		{"applied, then 64 others", many(accept(t, base, mine), 64), Accepted, 0, ""},
		{"65 others", many(base, 65), Rebase, 0, ""},
		{"same section, then 64 others", many(accept(t, base, same), 64), Unknown, 0, ""},
		{"applied and edited, then 64 others", many(accept(t, accept(t, base, mine), later), 64), Unknown, 0, ""},
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
	created := edit("new", "index.d", "", indexText("d", 7010))
	assert.Equal(t, Resolve(base.Manifest, many(base, 65).Manifest, created).Status, Unknown)
}

// operator makes one edit with the steps of medlarctl.
type operator struct {
	edit    Edit
	base    Base
	outcome Status
}

// Guards against edits of racing operators that are lost, applied twice or
// answered wrongly, with updates that fail before or after they are applied.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := document(t)
		start := store.Manifest.Generation
		var operators []*operator
		for i := range rapid.IntRange(2, 5).Draw(rt, "operators") {
			index := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "index")
			section := "index." + index
			ref, _ := store.Manifest.Find(section)
			e := edit(fmt.Sprintf("op-%d", i), section, ref.EditID, indexText(index, 7100+i))
			operators = append(operators, &operator{edit: e, base: store})
		}
		for range 200 {
			o := operators[rapid.IntRange(0, len(operators)-1).Draw(rt, "operator")]
			if o.outcome == "" {
				store = o.try(rt, store, rapid.SampledFrom([]string{"reply", "lost", "failed"}).Draw(rt, "fate"))
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

// try sends one conditional update and resolves it from a read of the store.
func (o *operator) try(rt *rapid.T, store Base, fate string) Base {
	m, problems := Decide(o.base, o.edit)
	if len(problems) > 0 {
		rt.Fatal(problems)
	}
	if fate != "failed" && store.Manifest.Generation == o.base.Manifest.Generation {
		store = on(store, m, o.edit)
	}
	if fate == "reply" || rapid.Bool().Draw(rt, "reread now") {
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

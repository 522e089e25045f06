package indexheap

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type entry struct{ value, at int }

// Guards against stale indexes after an item in the middle was removed.
func TestRemoveKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(func(a, b *entry) bool { return a.value < b.value }, func(e *entry) *int { return &e.at })
		var in []*entry
		for _, remove := range rapid.SliceOfN(rapid.Bool(), 1, 60).Draw(t, "remove") {
			if !remove || len(in) == 0 {
				e := &entry{value: rapid.IntRange(0, 20).Draw(t, "value")}
				h.Add(e)
				in = append(in, e)
				continue
			}
			i := rapid.IntRange(0, len(in)-1).Draw(t, "i")
			h.Remove(in[i])
			in = slices.Delete(in, i, i+1)
		}
		assert.Equal(t, h.Len(), len(in))
		for len(in) > 0 {
			first := slices.MinFunc(in, func(a, b *entry) int { return a.value - b.value })
			top := h.Peek()
			assert.Equal(t, top.value, first.value)
			h.Remove(top)
			in = slices.Delete(in, slices.Index(in, top), slices.Index(in, top)+1)
		}
	})
}

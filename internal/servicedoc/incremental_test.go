package servicedoc

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// assertEqualsFullCheck checks a document incrementally and compares the result
// with that of a full check.
func assertEqualsFullCheck(t *testing.T, i *IncrementalChecker, sections []Section, msg string) {
	t.Helper()
	got, gotProblems := i.Check(sections)
	want, wantProblems := Check(sections)
	assert.DeepEqual(t, gotProblems, wantProblems)
	assert.DeepEqual(t, got, want)
	if got != nil {
		got.Generation = 7 // Callers set it; the next result must not have it.
	}
	assert.Assert(t, (got == nil) == (len(gotProblems) > 0), msg)
}

// Guards against an edit whose incremental check gives another result than the
// full check. Each edit of the sample is made alone and then reverted.
func TestIncrementalEqualsCheckForEachFault(t *testing.T) {
	edits := []struct{ section, old, text string }{
		{"index.finder.1", "weight = 10", "weight = 11"},
		{"index.finder.2", "finder-1-a", "finder-1-c"},
		{"index.finder.2", "osorno", "valdivia"},
		{"index.finder.2", "finder-1\"", "finder-0\""},
		{"index.finder.2", "finder-1-a", "finder-0-a"},
		{"index.finder.2", ":7003", ":7001"},
		{"index.finder.2", "partition_generation = 3", "partition_generation = 4"},
		{"index.finder.2", "slots = 2", "slots = 3"},
		{"index.finder.1", "osorno", "temuco"},
		{"index.finder.1", "index = \"finder\"", "index = \"roster\""},
		{"index.finder.1", "weight = 10", "weight = "},
		{"zones", "state = \"out\"", "state = \"in\""},
		{"zones", "name = \"valdivia\"", "name = \"temuco\""},
		{"classes", "80ms", "90ms"},
		{"classes", "index = \"finder\"", "index = \"roster\""},
		{"owners", "courses", "search"},
	}
	for _, e := range edits {
		var i IncrementalChecker
		assertEqualsFullCheck(t, &i, sample(), "first")
		assertEqualsFullCheck(t, &i, sampleWith(e.section, e.old, e.text), e.text)
		assertEqualsFullCheck(t, &i, sample(), "back from "+e.text)
	}
}

// Guards against an incremental check that misses names and addresses which two
// indexes share after an edit of one of them, or sections that are added, removed
// or repeated.
func TestIncrementalEqualsCheckAcrossIndexes(t *testing.T) {
	other := bytes.ReplaceAll([]byte(partText), []byte("finder"), []byte("roster"))
	other = bytes.ReplaceAll(other, []byte(":7003"), []byte(":7103"))
	with := func(old, text string) []Section {
		return append(sample(), Section{Name: "index.roster", Text: bytes.Replace(other, []byte(old), []byte(text), 1)})
	}
	var i IncrementalChecker
	for _, doc := range [][]Section{
		with("", ""), with("roster-1-a", "finder-1-a"), with("roster-1\"", "finder-1\""), with(":7103", ":7001"),
		with("weight = 10", "weight = 20"), sample(), with("", ""), append(with("", ""), with("", "")[5]),
		with("[limits]", "[limits]\nslots = 1"), with("slots = 2", "slots = 1"), slices.Delete(with("", ""), 0, 1), nil,
	} {
		assertEqualsFullCheck(t, &i, doc, "")
	}
}

// Guards against a difference from the full check that appears only after a
// sequence of edits. The edits move addresses of leaves from one index to another,
// in one step or in two.
func TestIncrementalEqualsCheckForRandomEdits(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	doc := manyIndexes(6, 4)
	var i IncrementalChecker
	for step := range 300 {
		next := slices.Clone(doc)
		for range 1 + rnd.IntN(2) {
			k := 1 + rnd.IntN(len(next)-1)
			from := fmt.Sprintf("10.0.%d.%d:", rnd.IntN(6), rnd.IntN(4))
			to := fmt.Sprintf("10.0.%d.%d:", rnd.IntN(6), rnd.IntN(8))
			next[k].Text = bytes.Replace(next[k].Text, []byte(from), []byte(to), 1)
		}
		assertEqualsFullCheck(t, &i, next, fmt.Sprint("step ", step))
		if _, problems := Check(next); len(problems) == 0 {
			doc = next
		}
	}
}

// Guards against an incremental check that always runs the full check.
func TestIncrementalSharesWhatDidNotChange(t *testing.T) {
	var i IncrementalChecker
	doc := manyIndexes(3, 2)
	before, problems := i.Check(doc)
	assert.NilError(t, problems.Err())
	doc[1].Text = bytes.Replace(doc[1].Text, []byte("weight = 10"), []byte("weight = 20"), 1)
	after, problems := i.Check(doc)
	assert.NilError(t, problems.Err())
	assert.Equal(t, before.Shards["i1-0"], after.Shards["i1-0"])
	assert.Equal(t, before.Shards["i0-0"].Weight, uint64(10))
	assert.Equal(t, after.Shards["i0-0"].Weight, uint64(20))
}

// manyIndexes returns a document with one section per index and one leaf per
// shard.
func manyIndexes(indexes, shards int) []Section {
	sections := []Section{{Name: "zones", Text: []byte(zonesText)}}
	for i := range indexes {
		text := fmt.Sprintf("kind = \"index\"\nindex = \"i%d\"\npartition_generation = 1\n[limits]\nslots = 2\nconnections = 25\nrun_limit = \"2s\"\n", i)
		for s := range shards {
			text += fmt.Sprintf("[[shard]]\nname = \"i%d-%d\"\nweight = 10\n[[shard.leaf]]\nname = \"i%d-%d-a\"\nzone = \"osorno\"\naddress = \"10.0.%d.%d:70\"\n", i, s, i, s, i, s)
		}
		sections = append(sections, Section{Name: fmt.Sprintf("index.i%d", i), Text: []byte(text)})
	}
	return sections
}

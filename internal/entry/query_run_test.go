package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a query that is quarantined after the crash of a single leaf that
// ran two requests of it, and against a crash that is not counted.
func TestCrashCountsOncePerLeaf(t *testing.T) {
	r := &queryRun{attempts: map[uint64]*attempt{1: {leaf: "a"}, 2: {leaf: "a"}, 3: {leaf: "b"}, 4: {leaf: "c"}}}
	for _, ev := range []query.Event{
		query.Failed{Attempt: 1, Crash: true}, query.Failed{Attempt: 2, Crash: true},
		query.Failed{Attempt: 3, Crash: true}, query.Failed{Attempt: 4}, query.Failed{Attempt: 9, Crash: true},
	} {
		r.recordCrash(ev)
	}
	assert.Equal(t, len(r.crashed), 2)
}

// Guards against a repeat that is not marked as such: its relay would treat it as a
// separate request and run it while the first one is still queued.
func TestRepeatIsMarked(t *testing.T) {
	r := &queryRun{id: "q", class: &topology.Class{}}
	first, repeat := r.request(query.Send{Attempt: 1}, 0), r.request(query.Send{Attempt: 2, RepeatOf: 1}, 0)
	assert.Equal(t, first.RequestID, repeat.RequestID)
	assert.Assert(t, !first.Repeat && repeat.Repeat)
}

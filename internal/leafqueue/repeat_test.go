package leafqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// warm returns the limit of a warm leaf with a typical run time of 3.
func warm(n int) SetLimit { return SetLimit{InFlight: n, TypicalRunTime: 3} }

func repeat(id, of uint64, startBy time.Duration) Add {
	return Add{ID: id, StartBy: startBy, RepeatOf: of}
}

// Each row guards against the fault in its name.
func TestRepeat(t *testing.T) {
	rows := []struct {
		fault string
		steps []step
	}{
		{"repeat runs before the original has run for long, or never", []step{
			{0, warm(2), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {5, repeat(2, 1, 30), nil},
			{6, Tick{}, []Action{Dispatch{2}}}}},
		{"repeat runs while the original is queued", []step{
			{0, warm(1), nil}, {0, add(9, 0, 30), []Action{Dispatch{9}}}, {0, add(1, 0, 30), nil},
			{1, repeat(2, 1, 30), nil}, {10, warm(2), []Action{Dispatch{1}}}, {11, warm(3), nil},
			{16, Tick{}, []Action{Dispatch{2}}}}},
		{"repeat runs in a leaf that is not warm", []step{
			{0, limit(2), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{20, Tick{}, nil}}},
		{"repeat exceeds the limit", []step{
			{0, warm(1), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil}, {20, Tick{}, nil}}},
		{"repeat is dispatched after later requests, or before a higher class", []step{
			{0, warm(1), nil}, {0, add(1, 5, 30), []Action{Dispatch{1}}},
			{1, Add{ID: 2, Priority: 5, StartBy: 30, RepeatOf: 1}, nil}, {2, add(3, 5, 40), nil}, {2, add(4, 1, 40), nil},
			{6, warm(2), []Action{Dispatch{4}}}, {7, ReleaseSlot{ID: 4}, []Action{Dispatch{2}}}}},
		{"repeat runs after its start-by", []step{
			{0, warm(2), nil}, {0, add(1, 0, 4), []Action{Dispatch{1}}}, {1, repeat(2, 1, 4), nil}, {6, Tick{}, nil}}},
		{"repeat runs after the reply", []step{
			{0, warm(2), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{9, ReleaseSlot{ID: 1}, []Action{refuse(2, errs.ReasonCancelled)}}}},
		{"repeat waits for a request that was answered", []step{
			{0, warm(1), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{9, MarkAnswered{ID: 1}, []Action{refuse(2, errs.ReasonCancelled)}},
			{10, repeat(3, 1, 30), []Action{refuse(3, errs.ReasonCancelled)}}}},
		{"repeat of an unknown request runs", []step{
			{0, warm(2), nil}, {1, repeat(2, 1, 30), []Action{refuse(2, errs.ReasonCancelled)}}}},
		{"second repeat runs", []step{
			{0, warm(3), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{1, repeat(3, 1, 30), []Action{refuse(3, errs.ReasonCancelled)}}}},
		{"repeat is kept after the original was cancelled or refused", []step{
			{0, warm(1), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {0, add(3, 0, 9), nil},
			{1, repeat(2, 1, 30), nil}, {1, repeat(4, 3, 9), nil},
			{2, Cancel{ID: 1}, []Action{Abort{1}, refuse(2, errs.ReasonCancelled)}},
			{3, repeat(5, 1, 30), []Action{refuse(5, errs.ReasonCancelled)}},
			{9, Tick{}, []Action{refuse(3, errs.ReasonStartBy), refuse(4, errs.ReasonStartBy)}}}},
		{"cancelled repeat runs, or is answered twice", []step{
			{0, warm(2), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{1, add(2, 0, 30), nil}, {2, Cancel{ID: 2}, []Action{refuse(2, errs.ReasonCancelled)}}, {6, Tick{}, nil}}},
		{"closed queue keeps a repeat", []step{
			{0, warm(2), nil}, {0, add(1, 0, 30), []Action{Dispatch{1}}}, {1, repeat(2, 1, 30), nil},
			{2, Close{Reason: errs.ReasonZoneOut}, []Action{refuse(2, errs.ReasonZoneOut)}}}},
	}
	for _, row := range rows {
		t.Run(row.fault, func(t *testing.T) {
			q := New(Config{MaxQueued: 2})
			for i, s := range row.steps {
				assert.DeepEqual(t, q.Step(s.at, s.ev), s.want)
				wake, ok := q.NextWake(s.at)
				assert.Assert(t, !ok || wake > s.at, "step %d wakes at %d, now is %d", i, wake, s.at)
			}
		})
	}
}

// Guards against a repeat for which NextWake returns no time.
func TestNextWakeOfRepeat(t *testing.T) {
	q := New(Config{MaxQueued: 2})
	q.Step(0, warm(2))
	q.Step(0, add(1, 0, 30))
	q.Step(1, repeat(2, 1, 30))
	wake, ok := q.NextWake(1)
	assert.Assert(t, ok && wake == 6)
	q.Step(1, SetLimit{InFlight: 2, TypicalRunTime: 3, NotBefore: 8})
	wake, ok = q.NextWake(1)
	assert.Assert(t, ok && wake == 8)
}

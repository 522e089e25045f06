package leafqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

type step struct {
	at   time.Duration
	ev   Event
	want []Action
}

func limit(n int) SetLimit { return SetLimit{InFlight: n} }

func add(id uint64, priority int, startBy time.Duration) Add {
	return Add{ID: id, Priority: priority, StartBy: startBy}
}

func refuse(id uint64, r errs.Reason) Refuse { return Refuse{ID: id, Reason: r} }

// Each row guards against the fault in its name.
func TestQueue(t *testing.T) {
	rows := []struct {
		fault string
		steps []step
	}{
		{"new queue dispatches before it has a limit", []step{
			{0, add(1, 0, 9), nil}, {1, limit(1), []Action{Dispatch{1}}}}},
		{"low priority overtakes high priority", []step{
			{0, add(1, 5, 9), nil}, {0, add(2, 1, 20), nil}, {0, limit(1), []Action{Dispatch{2}}}}},
		{"later start-by goes first", []step{
			{0, add(1, 1, 20), nil}, {0, add(2, 1, 10), nil}, {0, limit(1), []Action{Dispatch{2}}}}},
		{"expired item is dispatched", []step{
			{0, add(1, 0, 5), nil}, {5, limit(1), []Action{refuse(1, errs.ReasonStartBy)}}}},
		{"item that arrives expired is dispatched", []step{
			{0, limit(1), nil}, {6, add(1, 0, 5), []Action{refuse(1, errs.ReasonStartBy)}}}},
		{"full queue refuses a request that ranks before one that it keeps", []step{
			{0, add(1, 5, 9), nil}, {0, add(2, 4, 9), nil},
			{0, add(3, 1, 9), []Action{refuse(1, errs.ReasonOverloaded)}},
			{0, add(4, 6, 9), []Action{refuse(4, errs.ReasonOverloaded)}}}},
		{"limit is exceeded or a slot is not reused", []step{
			{0, limit(1), nil}, {0, add(1, 0, 9), []Action{Dispatch{1}}}, {0, add(2, 0, 9), nil},
			{1, ReleaseSlot{ID: 7}, nil}, {1, ReleaseSlot{ID: 1}, []Action{Dispatch{2}}}}},
		{"lowered limit is exceeded", []step{
			{0, limit(2), nil}, {0, add(1, 0, 9), []Action{Dispatch{1}}}, {0, add(2, 0, 9), []Action{Dispatch{2}}},
			{0, limit(1), nil}, {0, add(3, 0, 9), nil}, {1, ReleaseSlot{ID: 1}, nil}, {1, ReleaseSlot{ID: 2}, []Action{Dispatch{3}}}}},
		{"request is dispatched during the idle pause", []step{
			{0, SetLimit{InFlight: 1, NotBefore: 4}, nil}, {0, add(1, 0, 9), nil}, {3, Tick{}, nil},
			{4, Tick{}, []Action{Dispatch{1}}}}},
		{"cancelled queued item runs", []step{
			{0, add(1, 0, 9), nil}, {0, Cancel{ID: 1}, []Action{refuse(1, errs.ReasonCancelled)}}, {0, limit(1), nil}}},
		{"abort frees the slot while the leaf still runs the request, or is returned twice", []step{
			{0, limit(1), nil}, {0, add(1, 0, 9), []Action{Dispatch{1}}}, {0, add(2, 0, 9), nil},
			{1, Cancel{ID: 1}, []Action{Abort{1}}}, {1, Cancel{ID: 1}, nil}, {2, ReleaseSlot{ID: 1}, []Action{Dispatch{2}}}}},
		{"closed queue accepts or keeps requests, or refuses a running one", []step{
			{0, limit(1), nil}, {0, add(1, 0, 9), []Action{Dispatch{1}}}, {0, add(2, 0, 9), nil},
			{1, Close{Reason: errs.ReasonZoneOut}, []Action{refuse(2, errs.ReasonZoneOut)}},
			{1, add(3, 0, 9), []Action{refuse(3, errs.ReasonZoneOut)}}, {2, Open{}, nil},
			{2, add(4, 0, 9), nil}, {3, ReleaseSlot{ID: 1}, []Action{Dispatch{4}}}}},
		{"repeated ID is answered twice", []step{
			{0, add(1, 0, 9), nil}, {0, add(1, 0, 9), nil}, {0, limit(2), []Action{Dispatch{1}}}, {0, add(1, 0, 9), nil}}},
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

// Guards against waking too late for the end of an idle pause or for an expiry.
func TestNextWake(t *testing.T) {
	q := New(Config{MaxQueued: 2})
	q.Step(0, SetLimit{InFlight: 1, NotBefore: 4})
	q.Step(0, add(1, 0, 9))
	wake, ok := q.NextWake(0)
	assert.Assert(t, ok && wake == 4)
	q.Step(1, limit(0))
	wake, ok = q.NextWake(1)
	assert.Assert(t, ok && wake == 9)
}

// Guards, over random events, against requests that get no answer or two, a
// limit that is exceeded, and repeats that are dispatched while the original
// does not run.
func TestEveryAddIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxQueued: rapid.IntRange(0, 4).Draw(t, "max")})
		state := map[uint64]string{}
		repeats := map[uint64]uint64{}
		var now time.Duration
		var next uint64
		allowed, running := 0, 0
		apply := func(ev Event) {
			for _, a := range q.Step(now, ev) {
				switch a := a.(type) {
				case Dispatch:
					assert.Equal(t, state[a.ID], "queued")
					if first, ok := repeats[a.ID]; ok {
						assert.Equal(t, state[first], "running", "repeat of a request that does not run")
					}
					state[a.ID], running = "running", running+1
					assert.Assert(t, running <= allowed)
				case Refuse:
					assert.Equal(t, state[a.ID], "queued")
					state[a.ID] = "refused"
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "dt"))
			id := uint64(rapid.IntRange(1, int(next)+1).Draw(t, "id"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				next++
				state[next] = "queued"
				ev := add(next, rapid.IntRange(0, 2).Draw(t, "priority"), now+time.Duration(rapid.IntRange(0, 9).Draw(t, "ttl")))
				if rapid.Bool().Draw(t, "repeat") {
					ev.RepeatOf = id
					repeats[next] = id
				}
				apply(ev)
			case 2:
				if state[id] == "running" {
					state[id], running = "done", running-1
				}
				apply(ReleaseSlot{ID: id})
			case 3:
				apply(Cancel{ID: id})
			case 4:
				allowed = rapid.IntRange(0, 3).Draw(t, "limit")
				apply(SetLimit{InFlight: allowed, TypicalRunTime: time.Duration(rapid.IntRange(0, 2).Draw(t, "typical"))})
			case 5:
				apply(Tick{})
			case 6:
				apply(MarkAnswered{ID: id})
			}
		}
		apply(Close{Reason: errs.ReasonDraining})
		for id, s := range state {
			assert.Assert(t, s != "queued", fmt.Sprint("no answer to request ", id))
		}
	})
}

func BenchmarkAddDispatchDone(b *testing.B) {
	q := New(Config{MaxQueued: 64})
	q.Step(0, limit(2))
	for i := range uint64(34) {
		q.Step(0, add(i, int(i%4), time.Hour+time.Duration(i)))
	}
	running := []uint64{0, 1}
	b.ReportAllocs()
	id := uint64(100)
	for b.Loop() {
		id++
		q.Step(0, add(id, int(id%4), time.Hour+time.Duration(id)))
		for _, a := range q.Step(0, ReleaseSlot{ID: running[0]}) {
			running = append(running[1:], a.(Dispatch).ID)
		}
	}
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/errs"
)

const ms = time.Millisecond

type step struct {
	at   time.Duration
	ev   Event
	want []Action
}

func arrive(id uint64, priority int, deadline time.Duration) Arrive {
	return Arrive{ID: id, Priority: priority, Deadline: deadline, ExpectedRunTime: 10 * ms}
}

// Each row guards against the fault in its name.
func TestDecisions(t *testing.T) {
	rows := map[string]struct {
		config Config
		steps  []step
	}{
		"a later deadline or a lower class is admitted first": {Config{1, 9}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 1, 50*ms), nil},
			{0, arrive(3, 0, 90*ms), nil},
			{0, arrive(4, 0, 80*ms), nil},
			{1, Complete{1}, []Action{Admit{4}}},
			{2, Complete{4}, []Action{Admit{3}}},
			{3, Complete{3}, []Action{Admit{2}}},
		}},
		"a query is admitted too late to complete": {Config{1, 9}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 0, 50*ms), nil},
			{0, arrive(3, 0, 60*ms), nil},
			{40*ms + 1, Complete{1}, []Action{Refuse{2, errs.ReasonDeadline}, Admit{3}}},
			{0, arrive(4, 0, 10*ms-1), []Action{Refuse{4, errs.ReasonDeadline}}},
		}},
		"a full queue sheds a query that ranks before another": {Config{1, 2}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 0, 90*ms), nil},
			{0, arrive(3, 0, 80*ms), nil},
			{0, arrive(4, 0, 95*ms), []Action{Refuse{4, errs.ReasonOverloaded}}},
			{0, arrive(5, 0, 70*ms), []Action{Refuse{2, errs.ReasonOverloaded}}},
		}},
		"queue of one keeps a lower class and refuses a higher one": {Config{1, 1}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 5, 50*ms), nil},
			{0, arrive(3, 0, 90*ms), []Action{Refuse{2, errs.ReasonOverloaded}}},
			{0, arrive(4, 5, 50*ms), []Action{Refuse{4, errs.ReasonOverloaded}}},
		}},
		"a query is admitted above a lowered capacity": {Config{2, 9}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 0, 100*ms), []Action{Admit{2}}},
			{0, SetCapacity{1}, nil},
			{0, arrive(3, 0, 100*ms), nil},
			{0, Complete{1}, nil},
			{0, Complete{2}, []Action{Admit{3}}},
			{0, SetCapacity{-1}, nil},
			{0, arrive(4, 0, 100*ms), nil},
			{0, SetCapacity{2}, []Action{Admit{4}}},
		}},
		"a cancelled query gets no decision or two": {Config{1, 9}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 0, 100*ms), nil},
			{0, Cancel{2}, []Action{Refuse{2, errs.ReasonCancelled}}},
			{0, Cancel{2}, nil},
			{0, Cancel{1}, nil},
			{0, Complete{2}, nil},
			{0, arrive(1, 0, 100*ms), nil},
			{0, Complete{1}, nil},
		}},
		"a query waits although MaxQueued is 0": {Config{1, 0}, []step{
			{0, arrive(1, 0, 100*ms), []Action{Admit{1}}},
			{0, arrive(2, 0, 100*ms), []Action{Refuse{2, errs.ReasonOverloaded}}},
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			q := New(row.config)
			for i, s := range row.steps {
				assert.DeepEqual(t, q.Step(s.at, s.ev), s.want)
				assert.Assert(t, q.Waiting() <= max(row.config.MaxQueued, 0), "step %d", i)
			}
		})
	}
}

// Guards against a wake-up before the query has expired, which would make the
// entry spin, and against a wake-up that delays the refusal.
func TestNextWakeRefusesLateQuery(t *testing.T) {
	q := New(Config{MaxRunning: 0, MaxQueued: 5})
	q.Step(0, arrive(1, 0, 50*ms))
	at, ok := q.NextWake(0)
	assert.Assert(t, ok)
	assert.Equal(t, len(q.Step(at-1, Wake{})), 0)
	assert.DeepEqual(t, q.Step(at, Wake{}), []Action{Refuse{1, errs.ReasonDeadline}})
	_, ok = q.NextWake(at)
	assert.Assert(t, !ok)
}

// Guards against lower classes that starve while the highest one overloads the
// queue. Each must get an admission in every lowerPriorityInterval * (classes -
// 1), and the highest must get at least 15 in 16.
func TestLowerClassesAreAdmittedUnderOverload(t *testing.T) {
	const classes, admissions = 4, 480
	for _, queued := range []int{classes, 64, 500} {
		t.Run(fmt.Sprint(queued), func(t *testing.T) {
			q := New(Config{MaxRunning: 1, MaxQueued: queued})
			id, running, counts, class := uint64(0), uint64(0), map[int]int{}, map[uint64]int{}
			last := map[int]int{}
			n := 0
			for range 2 * admissions {
				for p := range classes {
					for range 1 + 10*(classes-1-p) {
						id++
						class[id] = p
						q.Step(0, arrive(id, p, time.Second+time.Duration(id)))
					}
				}
				running = max(running, 1)
				for _, a := range q.Step(0, Complete{running}) {
					if a, ok := a.(Admit); ok {
						n, running = n+1, a.ID
						last[class[a.ID]], counts[class[a.ID]] = n, counts[class[a.ID]]+1
					}
				}
				for p := 1; p < classes; p++ {
					assert.Assert(t, n-last[p] <= lowerPriorityInterval*(classes-1), "class %d waited for %d admissions", p, n-last[p])
				}
			}
			assert.Equal(t, n, 2*admissions)
			assert.Assert(t, counts[0] >= 2*admissions*15/16, "%v", counts)
		})
	}
}

// Guards three invariants over random events: no admission exceeds the
// capacity, each arrival gets exactly one decision, and no query is admitted
// that would miss its deadline given its expected run time.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 4).Draw(t, "running")
		queued := rapid.IntRange(0, 6).Draw(t, "queued")
		q := New(Config{MaxRunning: capacity, MaxQueued: queued})
		arrived, decided, running := map[uint64]Arrive{}, map[uint64]bool{}, map[uint64]bool{}
		now := time.Duration(0)
		apply := func(ev Event) {
			for _, a := range q.Step(now, ev) {
				var id uint64
				switch a := a.(type) {
				case Admit:
					id = a.ID
					running[id] = true
					if len(running) > capacity {
						t.Fatalf("%d queries run, capacity is %d", len(running), capacity)
					}
					if in := arrived[id]; now+in.ExpectedRunTime > in.Deadline {
						t.Fatalf("admitted %+v at %v", in, now)
					}
				case Refuse:
					id = a.ID
				}
				if decided[id] {
					t.Fatalf("second decision on query %d", id)
				}
				decided[id] = true
			}
			if q.Waiting() > queued || len(arrived)-len(decided) != q.Waiting() {
				t.Fatalf("%d queries arrived, %d decided, %d wait, at most %d may wait", len(arrived), len(decided), q.Waiting(), queued)
			}
		}
		id := rapid.Uint64Range(1, 40)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				a := Arrive{
					ID: uint64(len(arrived) + 1), Priority: rapid.IntRange(-1, 3).Draw(t, "priority"),
					Deadline:        now + time.Duration(rapid.IntRange(-5, 60).Draw(t, "in")),
					ExpectedRunTime: time.Duration(rapid.IntRange(0, 30).Draw(t, "expected")),
				}
				arrived[a.ID] = a
				apply(a)
			},
			"done":     func(t *rapid.T) { i := id.Draw(t, "id"); delete(running, i); apply(Complete{i}) },
			"cancel":   func(t *rapid.T) { apply(Cancel{id.Draw(t, "id")}) },
			"capacity": func(t *rapid.T) { capacity = rapid.IntRange(0, 4).Draw(t, "n"); apply(SetCapacity{capacity}) },
			"wake":     func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 20).Draw(t, "by")); apply(Wake{}) },
		})
		now += time.Hour
		apply(Wake{})
		if len(decided) != len(arrived) {
			t.Fatalf("%d of %d queries got a decision", len(decided), len(arrived))
		}
	})
}

func BenchmarkArriveAdmitDone(b *testing.B) {
	for _, waiting := range []int{0, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := New(Config{MaxRunning: 1, MaxQueued: 2000})
			id := uint64(0)
			for id = range uint64(waiting + 1) {
				q.Step(0, arrive(id+1, int(id%3), time.Hour+time.Duration(id)))
			}
			id++
			q.Step(0, Complete{1})
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Step(0, arrive(id, int(id%3), time.Hour+time.Duration(id)))
				for r := range q.running {
					q.Step(0, Complete{r})
				}
			}
		})
	}
}

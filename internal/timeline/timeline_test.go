package timeline

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// wallClock is a wall clock whose time a test sets.
type wallClock struct{ at time.Time }

func (w *wallClock) now() time.Time { return w.at }

func (w *wallClock) add(d time.Duration) { w.at = w.at.Add(d) }

// Guards against a cause that orders after its effect while the wall clocks of the
// processes differ by up to 10 s and are set back.
func TestCausesOrderBeforeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type process struct {
			wall  *wallClock
			clock *Clock
			// causes holds the stamps that the process's next event depends on.
			causes []Stamp
		}
		var processes []*process
		skew := rapid.IntRange(-5000, 5000)
		for range 4 {
			w := &wallClock{epoch.Add(time.Duration(skew.Draw(t, "skew")) * time.Millisecond)}
			processes = append(processes, &process{wall: w, clock: NewClock(w.now)})
		}
		processIndex := rapid.IntRange(0, len(processes)-1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			from, to := processes[processIndex.Draw(t, "from")], processes[processIndex.Draw(t, "to")]
			sent := from.clock.Now()
			for _, cause := range from.causes {
				if !cause.Before(sent) {
					t.Fatalf("cause %v, effect %v", cause, sent)
				}
			}
			from.causes = append(from.causes, sent)
			to.clock.Observe(sent)
			if to != from {
				to.causes = append(to.causes, from.causes...)
			}
			step := time.Duration(rapid.IntRange(-20, 50).Draw(t, "step")) * time.Millisecond
			processes[processIndex.Draw(t, "ticks")].wall.add(step)
		}
	})
}

// Guards against one process with a clock far ahead that distorts the stamps of
// the others, directly or through a chain of processes.
func TestClockFarAhead(t *testing.T) {
	rows := []struct {
		ahead   time.Duration
		adopted bool
	}{
		{10 * time.Second, true},
		{maxAhead, true},
		{maxAhead + 1, false},
		{24 * time.Hour, false},
		{200 * 365 * 24 * time.Hour, false},
	}
	for _, row := range rows {
		wrong, right := &wallClock{epoch.Add(row.ahead)}, &wallClock{epoch}
		a, b, c := NewClock(wrong.now), NewClock(right.now), NewClock(right.now)
		cause := a.Now()
		b.Observe(cause)
		effect := b.Now()
		assert.Equal(t, cause.Before(effect), row.adopted, "%v ahead", row.ahead)
		c.Observe(effect)
		assert.Assert(t, c.Now().WallNS <= epoch.Add(maxAhead).UnixNano(), "%v ahead", row.ahead)
		right.add(maxAhead + time.Second)
		assert.Equal(t, b.Now(), Stamp{WallNS: right.at.UnixNano()}, "does not return to the wall clock")
	}
}

// Guards against a full log that loses its newest events, returns a wrong number of
// dropped events or returns events out of order.
func TestFullLogDropsItsOldest(t *testing.T) {
	for _, size := range []int{0, 1, 3, 10} {
		for _, n := range []int{0, 1, 2, 3, 4, 9, 10, 11, 25} {
			l := NewLog(NewClock(time.Now), size)
			for i := range n {
				l.Add(KindQueryStart, fmt.Sprint(i%2), fmt.Sprint(i), "")
			}
			kept := min(n, max(size, 1))
			events, dropped := l.Events("")
			assert.Equal(t, len(events), kept, "size %d, %d events", size, n)
			assert.Equal(t, dropped, uint64(n-kept))
			for i, e := range events {
				assert.Equal(t, e.Subject, fmt.Sprint(n-kept+i))
			}
			odd, _ := l.Events("1")
			for _, e := range odd {
				assert.Equal(t, e.RequestID, "1")
			}
		}
	}
}

// Guards against events that are stored in a different order from that of their
// stamps when several goroutines add events at the same time.
func TestConcurrentEventsAreStoredInOrder(t *testing.T) {
	l := NewLog(NewClock(time.Now), 20_000)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				l.Add(KindLeafSend, "", "", "")
			}
		})
	}
	wg.Wait()
	events, _ := l.Events("")
	for i := 1; i < len(events); i++ {
		assert.Assert(t, events[i-1].Stamp.Before(events[i].Stamp), "event %d", i)
	}
}

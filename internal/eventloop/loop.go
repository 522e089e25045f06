package eventloop

import "time"

// event is a call at a virtual time. The calls are in a slice of their own, so
// that the heap has no pointers to update.
type event struct {
	at   time.Duration
	seq  uint64
	call int32
}

func (e event) before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// Loop runs calls in the order of their times, and in the order of their
// creation at equal times. It is not safe for concurrent use.
type Loop struct {
	// Now is the virtual time. Only the loop changes it.
	Now   time.Duration
	seq   uint64
	heap  []event
	calls []func()
	free  []int32
}

// At schedules a call. A time in the past means now.
func (l *Loop) At(t time.Duration, run func()) {
	l.seq++
	e := event{at: max(t, l.Now), seq: l.seq, call: l.store(run)}
	l.heap = append(l.heap, e)
	l.up(e)
}

// After schedules a call after a delay.
func (l *Loop) After(d time.Duration, run func()) { l.At(l.Now+d, run) }

func (l *Loop) store(run func()) int32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		l.calls[i] = run
		return i
	}
	l.calls = append(l.calls, run)
	return int32(len(l.calls) - 1)
}

// RunUntil handles all calls up to a time, which is then the time.
func (l *Loop) RunUntil(end time.Duration) {
	for l.RunNext(end) {
	}
	l.Now = end
}

// RunNext handles the first call if it is not after a time, and reports whether
// there was one.
func (l *Loop) RunNext(end time.Duration) bool {
	if len(l.heap) == 0 || l.heap[0].at > end {
		return false
	}
	next := l.pop()
	run := l.calls[next.call]
	l.calls[next.call] = nil
	l.free = append(l.free, next.call)
	l.Now = next.at
	run()
	return true
}

func (l *Loop) pop() event {
	top, last := l.heap[0], len(l.heap)-1
	e := l.heap[last]
	l.heap = l.heap[:last]
	if last > 0 {
		down(l.heap, e)
	}
	return top
}

func (l *Loop) up(e event) {
	heap, i := l.heap, len(l.heap)-1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
}

// down puts an event in the place of the first one.
func down(heap []event, e event) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && heap[child+1].before(heap[child]) {
			child++
		}
		if !heap[child].before(e) {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = e
}

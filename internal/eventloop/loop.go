package eventloop

import "time"

// event is a call that is scheduled at a virtual time. The calls are stored in a
// separate slice, so that the heap contains no pointers to update.
type event struct {
	at  time.Duration
	seq uint64
	// call is an index into Loop.calls.
	call int32
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// Loop runs calls in the order of their times. Calls with equal times run in the
// order in which they were scheduled. It is not safe for concurrent use.
type Loop struct {
	// Now is the virtual time. Only the loop changes it.
	Now   time.Duration
	seq   uint64
	heap  []event
	calls []func()
	// free contains the unused indexes of calls.
	free []int32
}

// At schedules a call at a virtual time. A call with a time in the past runs at the
// current time.
func (l *Loop) At(t time.Duration, run func()) {
	l.seq++
	e := event{at: max(t, l.Now), seq: l.seq, call: l.addCall(run)}
	l.heap = append(l.heap, e)
	l.siftUp(e)
}

// After schedules a call after a delay.
func (l *Loop) After(d time.Duration, run func()) { l.At(l.Now+d, run) }

// addCall stores a call and returns its index.
func (l *Loop) addCall(run func()) int32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		l.calls[i] = run
		return i
	}
	l.calls = append(l.calls, run)
	return int32(len(l.calls) - 1)
}

// RunUntil runs all calls up to a time and then sets Now to it.
func (l *Loop) RunUntil(end time.Duration) {
	for l.RunNext(end) {
	}
	l.Now = end
}

// RunNext runs the first scheduled call if its time is not after end. It reports
// whether it ran a call.
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
		siftDown(l.heap, e)
	}
	return top
}

// siftUp moves an event from the end of the heap up to its position.
func (l *Loop) siftUp(e event) {
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

// siftDown replaces the first event of the heap and moves the new one down to its
// position.
func siftDown(heap []event, e event) {
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

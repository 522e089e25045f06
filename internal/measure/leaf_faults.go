package measure

// restart makes the leaf cold under a new boot ID and resets what it ran.
func (l *leaf) restart() {
	l.dead = false
	l.boot++
	l.coldReplies = 0
	l.failingUntil = 0
	l.resetAll()
	if l.onConnectionsClosed != nil {
		l.loop.After(localDelay, l.onConnectionsClosed)
	}
}

// turnCold makes the leaf cold without any sign, as a leaf that lost its
// caches. Requests that already run are not counted against their sender.
func (l *leaf) turnCold() { l.coldReplies = 0 }

// die makes the leaf silent.
func (l *leaf) kill() {
	l.dead = true
	for _, r := range append(l.running, l.waiting...) {
		r.ended = true
	}
	l.running, l.waiting = nil, nil
}

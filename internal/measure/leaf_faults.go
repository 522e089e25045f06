package measure

// restart makes the leaf cold under a new boot ID and resets its requests.
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

// turnCold makes the leaf cold without a restart that others could detect, as
// when it loses its caches. Requests that already run don't count as
// coldViolations.
func (l *leaf) turnCold() { l.coldReplies = 0 }

// kill ends all requests of the leaf without a reply, and it sends none until
// restart.
func (l *leaf) kill() {
	l.dead = true
	for _, r := range append(l.running, l.waiting...) {
		r.ended = true
	}
	l.running, l.waiting = nil, nil
}

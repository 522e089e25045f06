package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// RecordStatement records what a leaf states of itself in a reply to a request that was
// sent at a given time. It returns what was in force before, and what is now.
func (t *Table) RecordStatement(now time.Duration, id fleet.LeafID, sentAt time.Duration, st Statement) (before, after Statement) {
	l := t.leaves[id]
	if l == nil {
		l = t.departed[id].leaf
	}
	// A request that was sent before the process was known went to the one before it.
	if l == nil || sentAt < l.knownSince {
		return Statement{}, Statement{}
	}
	before = l.statement(now)
	l.statedLeaving = l.statedLeaving || st.Leaving
	if st.Rest > 0 {
		t.rest(now, l, st.Rest)
	}
	// A reply to a request that was sent before the leaf last stated a limit does not end
	// the limit: replies may overtake each other.
	if st.Limited || l.stated.Limited && sentAt >= l.statedAt {
		t.applyLimit(now, now, l, st)
		l.heardAt = now
	}
	return before, l.statement(now)
}

// statement returns what the leaf stated and is in force.
func (l *leaf) statement(now time.Duration) Statement {
	st := Statement{Leaving: l.statedLeaving, Rest: max(l.restUntil-now, 0)}
	if l.limited() {
		st.Limited, st.Limit = true, l.stated.Limit
	}
	return st
}

// applyLimit applies the limit that a leaf stated at a given time, or its end, unless
// something newer is known or it was another process of the leaf.
func (t *Table) applyLimit(now, at time.Duration, l *leaf, st Statement) {
	if at < l.statedAt || !l.stated.Limited && !st.Limited {
		return
	}
	if !l.limited() {
		l.limiter.reset(now)
		l.limitedSince = now
	}
	changed := l.stated.Limit != st.Limit || !l.stated.Limited || l.unheard
	l.unheard = false
	l.stated, l.statedAt = Statement{Limited: st.Limited, Limit: st.Limit}, at
	if st.Limited && changed {
		t.updateStatedShare(l)
	}
}

// withinStatedLimit reports whether one more request to a leaf is within this VM's share of
// the limit that the leaf states. It must not have to wait for a connection, since requests
// that wait would arrive closer together than they were allowed.
func (t *Table) withinStatedLimit(now time.Duration, l *leaf) bool {
	t.refreshStatedShare(now, l)
	return !l.limited() || len(l.started) < l.connections && l.limiter.allows(now)
}

// withinStatements reports whether a leaf may get a request now by what it states of
// itself.
func (t *Table) withinStatements(now time.Duration, l *leaf) bool {
	return !l.statedLeaving && l.rested(now) && t.withinStatedLimit(now, l)
}

// Admit reports whether a request that was begun at a given time and has waited since may
// still be sent to a leaf. A leaf that is leaving may have stopped before the request
// arrives. A request that was begun before the leaf stated a limit is charged to it now.
func (t *Table) Admit(now time.Duration, id fleet.LeafID, begunAt time.Duration) bool {
	l := t.leaves[id]
	if l == nil || l.isLeaving() || t.evacuated[l.Zone] || now < l.resumeAt {
		return false
	}
	if !l.limited() || begunAt >= l.limitedSince {
		return true
	}
	t.refreshStatedShare(now, l)
	if !l.limiter.allows(now) {
		return false
	}
	l.limiter.record(now)
	return true
}

// Obstacle is what a leaf's own statements keep requests from it for.
type Obstacle uint8

// Obstacles, from the one that counts most for a service.
const (
	// NoObstacle means that the leaves' statements are not the cause.
	NoObstacle Obstacle = iota
	// Limited means that this VM's share of a stated limit is used up.
	Limited
	// Resting means that a leaf wants no requests for some time.
	Resting
	// Leaving means that all leaves are about to stop.
	Leaving
)

// StatedObstacle returns which statements of its leaves keep a service from getting
// requests, and how long it takes until the first leaf may get one; another VM may be able
// to send one earlier.
func (t *Table) StatedObstacle(now time.Duration, service fleet.ServiceName) (Obstacle, time.Duration) {
	obstacle, shortest := NoObstacle, time.Duration(0)
	group := t.leavesByService[service]
	leaving := 0
	for _, l := range group {
		switch {
		case l.isLeaving():
			leaving++
			continue
		case !t.usableButForStatements(now, l):
			continue
		case t.withinStatements(now, l):
			return NoObstacle, 0
		}
		found, wait := Limited, unheardAfter
		if limitWait, ok := l.limiter.wait(now); ok {
			wait = limitWait
		}
		if !l.rested(now) {
			found, wait = Resting, max(l.resumeAt-now, 0)
		}
		if obstacle == NoObstacle || wait < shortest {
			obstacle, shortest = found, wait
		}
	}
	if obstacle == NoObstacle && leaving > 0 && leaving == len(group) {
		return Leaving, 0
	}
	return obstacle, shortest
}

// MarkUnreadable records that a leaf stated something that cannot be decoded, and reports
// whether it is the first time.
func (t *Table) MarkUnreadable(id fleet.LeafID) bool {
	l := t.leaves[id]
	if l == nil || l.unreadable {
		return false
	}
	l.unreadable = true
	return true
}

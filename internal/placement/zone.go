package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// zoneState is what this VM knows of the way to an availability zone. It answers
// the load pattern of a zone that is cut off: without it, each of its leaves
// would have to fail some requests before it is passed over.
type zoneState struct {
	// lastReply is when a leaf of the zone last answered anything.
	lastReply time.Duration
	// failures counts requests since then that got no sign of life.
	failures int
	down     bool
	// trialAt is when a leaf of a zone that is down may be tried again.
	trialAt time.Duration
}

// failed counts a request without a sign of life and reports whether the zone
// went down by it.
func (z *zoneState) failed(now time.Duration) bool {
	z.failures++
	if z.down || z.failures < zoneDownAfter || now-z.lastReply < zoneDownTime {
		return false
	}
	z.down = true
	z.trialAt = now + zoneTrialEvery
	return true
}

// replied takes in a sign of life and reports whether the zone was down.
func (z *zoneState) replied(now time.Duration) bool {
	was := z.down
	z.lastReply, z.failures, z.down = now, 0, false
	return was
}

// mayTry reports whether a leaf of the zone may get a request.
func (z *zoneState) mayTry(now time.Duration) bool { return !z.down || now >= z.trialAt }

// zone returns the state of a zone.
func (t *Table) zone(name fleet.Zone) *zoneState {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{}
		t.zones[name] = z
	}
	return z
}

// zoneReplied takes in a sign of life from a zone. When it was down, its leaves
// start anew.
func (t *Table) zoneReplied(now time.Duration, name fleet.Zone) {
	if !t.zone(name).replied(now) {
		return
	}
	for _, l := range t.leaves {
		if l.Zone == name {
			l.unusable, l.unanswered, l.retryAt, l.silentUntil = 0, 0, 0, 0
		}
	}
}

// UnreachableZones returns the zones with leaves to which no way is known.
func (t *Table) UnreachableZones() []fleet.Zone {
	var out []fleet.Zone
	for name := range t.leafZones() {
		if t.zone(name).down {
			out = append(out, name)
		}
	}
	return out
}

// Isolated reports whether this VM reaches no zone with leaves but its own.
func (t *Table) Isolated(own fleet.Zone) bool {
	others := 0
	for name := range t.leafZones() {
		if name == own {
			continue
		}
		others++
		if !t.zone(name).down {
			return false
		}
	}
	return others > 0
}

// NextZoneProbe returns a leaf whose address should be tried to learn whether its
// zone, which is down, can be reached again, and counts the trial.
func (t *Table) NextZoneProbe(now time.Duration, name fleet.Zone) (Choice, bool) {
	z := t.zone(name)
	if !z.down || now < z.trialAt {
		return Choice{}, false
	}
	z.trialAt = now + zoneTrialEvery
	t.turn++
	skip := t.turn
	var last *leaf
	for _, l := range t.leaves {
		if l.Zone != name || l.Leaving {
			continue
		}
		last = l
		if skip--; skip <= 0 {
			break
		}
	}
	if last == nil {
		return Choice{}, false
	}
	return Choice{ID: last.ID, Address: last.Address, Zone: name}, true
}

// RecordZoneReachable takes in that a leaf's address accepted a connection.
func (t *Table) RecordZoneReachable(now time.Duration, zone fleet.Zone) { t.zoneReplied(now, zone) }

// CanMeetMinCoverage reports whether every gathering route can reach its least coverage.
func (t *Table) CanMeetMinCoverage(now time.Duration, c *fleet.Configuration) bool {
	for _, r := range c.Routes {
		reachable := 0
		for _, shard := range r.Shards {
			if t.reachable(now, shard) {
				reachable++
			}
		}
		if r.FansOut() && float64(reachable) < r.MinCoverage*float64(len(r.Shards)) {
			return false
		}
	}
	return true
}

func (t *Table) reachable(now time.Duration, service fleet.ServiceName) bool {
	for _, l := range t.services[service] {
		if !l.Leaving && !l.replaced && !t.evacuated[l.Zone] && !t.zone(l.Zone).down && now >= l.retryAt {
			return true
		}
	}
	return false
}

func (t *Table) leafZones() map[fleet.Zone]bool {
	out := make(map[fleet.Zone]bool)
	for _, l := range t.leaves {
		out[l.Zone] = true
	}
	return out
}

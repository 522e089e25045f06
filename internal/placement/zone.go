package placement

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// zoneState tracks whether this VM can reach an availability zone. Without it,
// each leaf of a partitioned zone would have to fail some requests before this VM
// stops choosing it.
type zoneState struct {
	// lastReply is when a leaf of the zone last replied, accepted a connection or sent a
	// part of a reply.
	lastReply time.Duration
	// failures counts requests without a reply since lastReply; failedAt is when the last
	// one ended.
	failures    int
	failedAt    time.Duration
	unreachable bool
	// probeAt is when a leaf of an unreachable zone may be tried again.
	probeAt time.Duration
}

// recordFailure counts a request without a reply and reports whether the zone has
// become unreachable.
func (z *zoneState) recordFailure(now time.Duration) bool {
	z.failures++
	z.failedAt = now
	if z.unreachable || z.failures < zoneUnreachableAfter || now-z.lastReply < zoneUnreachableTime {
		return false
	}
	z.unreachable = true
	z.probeAt = now + zoneProbeInterval
	return true
}

// recordReply resets the failures and reports whether the zone was unreachable.
func (z *zoneState) recordReply(now time.Duration) bool {
	wasUnreachable := z.unreachable
	z.lastReply, z.failures, z.unreachable = now, 0, false
	return wasUnreachable
}

// acceptsRequests reports whether leaves of the zone may get requests.
func (z *zoneState) acceptsRequests(now time.Duration) bool {
	return !z.unreachable || now >= z.probeAt
}

// zone returns the state of a zone and creates it if it does not exist.
func (t *Table) zone(name fleet.Zone) *zoneState {
	z := t.zones[name]
	if z == nil {
		z = &zoneState{}
		t.zones[name] = z
	}
	return z
}

// recordZoneReply records that a zone is reachable. If it was unreachable, the
// connection failures, unanswered requests and backoffs of its leaves are reset.
func (t *Table) recordZoneReply(now time.Duration, name fleet.Zone) {
	if !t.zone(name).recordReply(now) {
		return
	}
	for _, l := range t.leaves {
		if l.Zone == name {
			l.connectFailures, l.unanswered, l.retryAt, l.unresponsiveUntil = 0, 0, 0, 0
		}
	}
}

// RecordHeard records when bytes of a reply arrived from a leaf, even though the reply was not
// valid or not complete in time: the leaf's zone was reachable then.
func (t *Table) RecordHeard(id fleet.LeafID, at time.Duration) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	z := t.zone(l.Zone)
	if at > z.failedAt {
		t.recordZoneReply(at, l.Zone)
		return
	}
	// The zone may have become unreachable since.
	z.lastReply = max(z.lastReply, at)
}

// UnreachableZones returns the zones whose leaves are unreachable.
func (t *Table) UnreachableZones() []fleet.Zone {
	var out []fleet.Zone
	for name := range t.leafZones() {
		if t.zone(name).unreachable {
			out = append(out, name)
		}
	}
	return out
}

// OtherZonesUnreachable reports whether there are leaves in other zones and all of
// these zones are unreachable.
func (t *Table) OtherZonesUnreachable(own fleet.Zone) bool {
	others := 0
	for name := range t.leafZones() {
		if name == own {
			continue
		}
		others++
		if !t.zone(name).unreachable {
			return false
		}
	}
	return others > 0
}

// NextZoneProbe returns a leaf of an unreachable zone to connect to, to find out
// whether the zone is reachable again. It returns false if no probe is due. Each
// probe delays the next one by zoneProbeInterval.
func (t *Table) NextZoneProbe(now time.Duration, name fleet.Zone) (Choice, bool) {
	z := t.zone(name)
	if !z.unreachable || now < z.probeAt {
		return Choice{}, false
	}
	z.probeAt = now + zoneProbeInterval
	t.rotation++
	skip := t.rotation
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

// RecordZoneReachable records that a leaf of the zone accepted a connection.
func (t *Table) RecordZoneReachable(now time.Duration, zone fleet.Zone) { t.recordZoneReply(now, zone) }

// CanMeetMinCoverage reports whether enough shards of every fan-out route have a
// reachable leaf for its minimum coverage.
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

// ShardsWithoutLeaf returns the services of a configuration's routes that have no leaf
// that can get requests.
func (t *Table) ShardsWithoutLeaf(now time.Duration, c *fleet.Configuration) []fleet.ServiceName {
	var out []fleet.ServiceName
	seen := make(map[fleet.ServiceName]bool)
	for _, r := range c.Routes {
		for _, shard := range r.Services() {
			if !seen[shard] && !t.reachable(now, shard) {
				out = append(out, shard)
			}
			seen[shard] = true
		}
	}
	return out
}

// reachable reports whether a service has a leaf that can get requests.
func (t *Table) reachable(now time.Duration, service fleet.ServiceName) bool {
	for _, l := range t.leavesByService[service] {
		if !l.Leaving && !l.statedLeaving && !l.replaced && !t.evacuated[l.Zone] && !t.zone(l.Zone).unreachable && now >= l.retryAt {
			return true
		}
	}
	return false
}

// leafZones returns the zones that have leaves.
func (t *Table) leafZones() map[fleet.Zone]bool {
	out := make(map[fleet.Zone]bool)
	for _, l := range t.leaves {
		out[l.Zone] = true
	}
	return out
}

package measure

import "time"

// zoneAway takes an availability zone out at a time and brings it back later.
// Its leaves stop while it is out and return cold.
func (s *sim) takeZoneOutAndBack(zone int, outAt, outTime time.Duration) {
	backAt := outAt + outTime
	s.result.zoneChanges = append(s.result.zoneChanges, timeWindow{from: outAt, to: backAt + zoneReturnTime})
	s.At(outAt, func() { s.applyZoneEdit(zone, true) })
	s.At(outAt+leafStopDelay, func() { s.eachLeafInZone(zone, (*leaf).kill) })
	s.At(backAt, func() { s.eachLeafInZone(zone, (*leaf).restart) })
	s.At(backAt+zoneRestartTime, func() { s.recordLastStarts(zone) })
	s.At(backAt+zoneRestartTime, func() { s.applyZoneEdit(zone, false) })
}

const (
	// zoneReady is from the start of a zone's leaves to the edit that brings
	// the zone back.
	zoneRestartTime = 2 * time.Second
	// zoneReturn is how long after the return a change still counts as one.
	zoneReturnTime = 8 * time.Second
)

func (s *sim) eachLeafInZone(zone int, do func(*leaf)) {
	for _, l := range s.leaves {
		if l.zone == zone {
			do(l)
		}
	}
}

// edit is accepted now and in force on each VM within configDelay.
func (s *sim) applyZoneEdit(zone int, out bool) {
	if out {
		s.zoneOutSince[zone] = s.Now
	}
	for i, e := range s.entries {
		s.After(configDelayOf(i, len(s.entries)), func() { e.setZoneOut(zone, out) })
	}
	for i, b := range s.baselineEntries {
		s.After(configDelayOf(i, len(s.baselineEntries)), func() { b.zoneOut[zone] = out })
	}
	for i, l := range s.leaves {
		r := s.relays[l.id]
		if r != nil && l.zone == zone {
			s.After(configDelayOf(i, len(s.leaves)), func() { r.setInService(!out) })
		}
	}
}

// spread gives the VMs different delays up to configDelay.
func configDelayOf(i, n int) time.Duration {
	return configDelay * time.Duration(i+1) / time.Duration(n)
}

// watchZone notes how long after the edit the leaves of a zone that is out last
// began a request.
func (s *sim) recordLastStarts(zone int) {
	s.eachLeafInZone(zone, func(l *leaf) {
		s.result.LastStartAfterZoneOut = max(s.result.LastStartAfterZoneOut, l.lastStart-s.zoneOutSince[zone])
	})
}

package measure

import "time"

// takeZoneOutAndBack schedules that an availability zone is taken out at outAt
// and its leaves restart after outTime. The leaves stop while the zone is out
// and are cold after the restart.
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
	// zoneRestartTime is the time from the restart of a zone's leaves to the edit
	// that brings the zone back.
	zoneRestartTime = 2 * time.Second
	// zoneReturnTime is how long after the restart of a zone's leaves queries
	// still count as arriving during the zone change.
	zoneReturnTime = 8 * time.Second
)

func (s *sim) eachLeafInZone(zone int, do func(*leaf)) {
	for _, l := range s.leaves {
		if l.zone == zone {
			do(l)
		}
	}
}

// applyZoneEdit edits the state of a zone. The edit is active on each VM
// within configDelay.
func (s *sim) applyZoneEdit(zone int, out bool) {
	if out {
		s.zoneOutSince[zone] = s.Now
	}
	for i, e := range s.entries {
		s.After(configDelayOf(i, len(s.entries)), func() { e.setZoneOut(zone, out) })
	}
	for i, baseline := range s.baselineEntries {
		s.After(configDelayOf(i, len(s.baselineEntries)), func() { baseline.zoneOut[zone] = out })
	}
	for i, l := range s.leaves {
		r := s.relays[l.id]
		if r != nil && l.zone == zone {
			s.After(configDelayOf(i, len(s.leaves)), func() { r.setInService(!out) })
		}
	}
}

// configDelayOf returns the time after which an edit is active on VM i of n. It
// differs between the VMs and is at most configDelay.
func configDelayOf(i, n int) time.Duration {
	return configDelay * time.Duration(i+1) / time.Duration(n)
}

// recordLastStarts records how long after the edit that took a zone out its
// leaves last started a request.
func (s *sim) recordLastStarts(zone int) {
	s.eachLeafInZone(zone, func(l *leaf) {
		s.result.LastStartAfterZoneOut = max(s.result.LastStartAfterZoneOut, l.lastStart-s.zoneOutSince[zone])
	})
}

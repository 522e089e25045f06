package measure

import "time"

// zoneAway takes an availability zone out at a time and brings it back later.
// Its leaves stop while it is out and return cold.
func (s *sim) zoneAway(zone int, out, away time.Duration) {
	back := out + away
	s.result.windows = append(s.result.windows, window{from: out, to: back + zoneReturn})
	s.At(out, func() { s.edit(zone, true) })
	s.At(out+stopDelay, func() { s.eachLeaf(zone, (*leaf).die) })
	s.At(back, func() { s.eachLeaf(zone, (*leaf).restart) })
	s.At(back+zoneReady, func() { s.watchZone(zone) })
	s.At(back+zoneReady, func() { s.edit(zone, false) })
}

const (
	// zoneReady is from the start of a zone's leaves to the edit that brings
	// the zone back.
	zoneReady = 2 * time.Second
	// zoneReturn is how long after the return a change still counts as one.
	zoneReturn = 8 * time.Second
)

func (s *sim) eachLeaf(zone int, do func(*leaf)) {
	for _, l := range s.leaves {
		if l.zone == zone {
			do(l)
		}
	}
}

// edit is accepted now and in force on each VM within configDelay.
func (s *sim) edit(zone int, out bool) {
	if out {
		s.outSince[zone] = s.Now
	}
	for i, e := range s.entries {
		s.After(spread(i, len(s.entries)), func() { e.setZone(zone, out) })
	}
	for i, b := range s.senders {
		s.After(spread(i, len(s.senders)), func() { b.out[zone] = out })
	}
	for i, l := range s.leaves {
		r := s.byID[l.id]
		if r != nil && l.zone == zone {
			s.After(spread(i, len(s.leaves)), func() { r.setOpen(!out) })
		}
	}
}

// spread gives the VMs different delays up to configDelay.
func spread(i, n int) time.Duration {
	return configDelay * time.Duration(i+1) / time.Duration(n)
}

// watchZone notes how long after the edit the leaves of a zone that is out last
// began a request.
func (s *sim) watchZone(zone int) {
	s.eachLeaf(zone, func(l *leaf) {
		s.result.LateWork = max(s.result.LateWork, l.lastStart-s.outSince[zone])
	})
}

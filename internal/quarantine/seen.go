package quarantine

// seenSet remembers fingerprints whose requests an upstream has answered. It
// keeps two generations of half the size and drops the older one when the
// newer is full, so that fingerprints in use stay.
type seenSet struct {
	half     int
	newer    map[uint64]struct{}
	previous map[uint64]struct{}
}

func newSeenSet(size int) seenSet {
	return seenSet{half: max(size/2, 1), newer: make(map[uint64]struct{})}
}

func (s *seenSet) add(fingerprint uint64) {
	if len(s.newer) >= s.half {
		s.previous = s.newer
		s.newer = make(map[uint64]struct{})
	}
	s.newer[fingerprint] = struct{}{}
}

func (s *seenSet) has(fingerprint uint64) bool {
	if _, ok := s.newer[fingerprint]; ok {
		return true
	}
	if _, ok := s.previous[fingerprint]; !ok {
		return false
	}
	s.add(fingerprint)
	return true
}

func (s *seenSet) remove(fingerprint uint64) {
	delete(s.newer, fingerprint)
	delete(s.previous, fingerprint)
}

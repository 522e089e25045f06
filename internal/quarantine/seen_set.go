package quarantine

// seenSet remembers fingerprints of requests that upstreams have replied to. It
// keeps two generations, each of half the size, and drops the previous one when
// the current one is full, so that fingerprints in use are kept.
type seenSet struct {
	generationSize int
	current        map[uint64]struct{}
	previous       map[uint64]struct{}
}

func newSeenSet(size int) seenSet {
	return seenSet{generationSize: max(size/2, 1), current: make(map[uint64]struct{})}
}

func (s *seenSet) add(fingerprint uint64) {
	if len(s.current) >= s.generationSize {
		s.previous = s.current
		s.current = make(map[uint64]struct{})
	}
	s.current[fingerprint] = struct{}{}
}

func (s *seenSet) has(fingerprint uint64) bool {
	if _, ok := s.current[fingerprint]; ok {
		return true
	}
	if _, ok := s.previous[fingerprint]; !ok {
		return false
	}
	s.add(fingerprint)
	return true
}

func (s *seenSet) remove(fingerprint uint64) {
	delete(s.current, fingerprint)
	delete(s.previous, fingerprint)
}

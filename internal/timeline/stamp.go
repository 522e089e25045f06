package timeline

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallNS is wall time in nanoseconds since the Unix epoch, or the highest
	// one seen in a received stamp.
	WallNS  int64  `msgpack:"w"`
	Logical uint32 `msgpack:"l"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.WallNS != t.WallNS {
		return s.WallNS < t.WallNS
	}
	return s.Logical < t.Logical
}

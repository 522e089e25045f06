package timeline

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallNS is the wall time in nanoseconds since the Unix epoch, or that of a
	// received stamp if it was later.
	WallNS int64 `msgpack:"w"`
	// Logical orders stamps that have the same WallNS.
	Logical uint32 `msgpack:"l"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.WallNS != t.WallNS {
		return s.WallNS < t.WallNS
	}
	return s.Logical < t.Logical
}

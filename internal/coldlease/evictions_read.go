package coldlease

// EvictionsRead reports the content and the version of the store object
// evictions/<zone>. If the object does not exist, there are no entries and the
// version is 0.
type EvictionsRead struct {
	Evictions []Eviction
	Version   uint64
}

func (EvictionsRead) event() {}

package coldlease

// EvictionsRead gives the content of the store object evictions/<zone>, an
// empty one with version 0 if it does not exist.
type EvictionsRead struct {
	Evictions []Eviction
	Version   uint64
}

func (EvictionsRead) event() {}

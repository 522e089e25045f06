package leafqueue

// ReleaseSlot frees the slot of a dispatched request that no longer runs in the
// leaf: the leaf replied or refused it, or both its start-by and its run limit
// have passed. A lost connection is not enough, since the leaf may still run
// the request.
//
// A reply can lower the limit or start a pause, so the worker passes SetLimit
// before ReleaseSlot. Otherwise the next request would be dispatched under the
// old limit.
type ReleaseSlot struct {
	ID uint64
}

func (ReleaseSlot) event() {}

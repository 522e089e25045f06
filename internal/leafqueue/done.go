package leafqueue

// ReleaseSlot says that a dispatched request no longer runs in the leaf: the leaf
// replied, refused it, or its start-by and its run limit have both passed. A
// lost connection is not enough, since the leaf may still run the request.
//
// A reply can lower the limit or start a pause, so the shell sends SetLimit
// before ReleaseSlot; otherwise ReleaseSlot dispatches under the earlier limit.
type ReleaseSlot struct {
	ID uint64
}

func (ReleaseSlot) event() {}

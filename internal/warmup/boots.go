package warmup

// rememberedBoots covers the boots that a delayed report can come from; a leaf
// that restarts more often than that within the delay is cold anyway.
const rememberedBoots = 4

// boots holds the current boot ID of a leaf and its latest earlier ones.
type boots struct {
	current uint64
	earlier [rememberedBoots]uint64
	next    int
}

// stale reports whether a boot ID is known to be from an earlier boot.
func (b *boots) stale(id uint64) bool {
	if id == 0 || id == b.current {
		return false
	}
	for _, e := range b.earlier {
		if e == id {
			return true
		}
	}
	return false
}

// adopt makes id the current boot and reports whether it replaced another.
func (b *boots) adopt(id uint64) bool {
	if id == 0 || id == b.current {
		return false
	}
	old := b.current
	b.current = id
	if old == 0 {
		return false
	}
	b.earlier[b.next] = old
	b.next = (b.next + 1) % rememberedBoots
	return true
}

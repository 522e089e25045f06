package warmup

// maxEarlierBoots covers every boot that a delayed report can come from, unless
// the leaf restarts more often within that delay; such a leaf is cold anyway.
const maxEarlierBoots = 4

// bootHistory holds the current boot ID of a leaf and the most recent earlier
// ones.
type bootHistory struct {
	current uint64
	earlier [maxEarlierBoots]uint64
	next    int
}

// stale reports whether id belongs to a known earlier boot.
func (b *bootHistory) stale(id uint64) bool {
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

// adopt makes id the current boot and reports whether it replaced another one.
func (b *bootHistory) adopt(id uint64) bool {
	if id == 0 || id == b.current {
		return false
	}
	old := b.current
	b.current = id
	if old == 0 {
		return false
	}
	b.earlier[b.next] = old
	b.next = (b.next + 1) % maxEarlierBoots
	return true
}

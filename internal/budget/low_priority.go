package budget

import "time"

// reserveFraction is the fraction of the token limit that is reserved for the
// highest priority. In an overload, requests of lower classes queue in the leaves,
// and most of them would be hedged.
const reserveFraction = 0.5

// TrySpendLowPriority is TrySpend for classes below the highest priority.
func (b *Budget) TrySpendLowPriority(now time.Duration, kind Kind) bool {
	b.decay(now)
	if b.total.tokens < reserveFraction*b.limit(1) {
		return false
	}
	if kind == KindHedge && b.hedges.tokens < reserveFraction*b.limit(HedgeFraction) {
		return false
	}
	return b.TrySpend(now, kind)
}

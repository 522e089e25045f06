package budget

import "time"

// reservePart is the part of the saved tokens that lower priorities leave to
// the highest one. In an overload the lower classes queue in the leaves, so
// that most of their requests would hedge.
const reservePart = 0.5

// TrySpendLowPriority is TrySpend for classes of lower priority.
func (b *Budget) TrySpendLowPriority(now time.Duration, kind Kind) bool {
	b.age(now)
	if b.all.tokens < reservePart*b.limit(1) {
		return false
	}
	if kind == KindHedge && b.hedges.tokens < reservePart*b.limit(HedgeFraction) {
		return false
	}
	return b.TrySpend(now, kind)
}

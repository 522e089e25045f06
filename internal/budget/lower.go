package budget

import "time"

// reservePart is the part of the saved tokens that lower priorities leave to
// the highest one. In an overload the lower classes queue in the leaves, so
// that most of their requests would hedge.
const reservePart = 0.5

// TrySpendLower is TrySpend for classes of lower priority.
func (b *Budget) TrySpendLower(now time.Duration, kind Kind) bool {
	b.age(now)
	if b.all.tokens < reservePart*b.limit(1) {
		return false
	}
	if kind == KindHedge && b.hedges.tokens < reservePart*b.limit(HedgePart) {
		return false
	}
	return b.TrySpend(now, kind)
}

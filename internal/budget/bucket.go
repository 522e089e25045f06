package budget

// bucket is a token bucket whose limit is passed with each refill.
type bucket struct{ tokens float64 }

func (b *bucket) earn(tokens, limit float64) { b.tokens = min(b.tokens+tokens, limit) }

func (b *bucket) has() bool { return b.tokens >= 1 }

func (b *bucket) spend() { b.tokens-- }

package budget

import (
	"math"
	"time"
)

const (
	// HedgeFraction is the fraction of the budget that hedges may use. The rest is
	// reserved for retries, without which a refused attempt costs coverage.
	HedgeFraction = 0.8

	// loadDecayTime is the time constant with which past load decays. Saved tokens
	// are limited by the decayed load, so that tokens earned under high load are not
	// spent on a fleet whose load has fallen since.
	loadDecayTime = 10 * time.Second

	// minDecayInterval limits how often the decay is computed, since each time takes
	// an exponential.
	minDecayInterval = 100 * time.Millisecond
)

// Config holds the limits of a budget.
type Config struct {
	// Share is the extra load as a share of first attempts, 0.05 for 5%.
	Share float64
	// Burst is the maximum number of saved tokens. Below 1 nothing can be spent.
	Burst float64
	// Rate is the number of tokens earned per second regardless of load, for a bound
	// that allows a constant number of extra attempts in each window. If it is
	// positive, recent load does not limit the saved tokens.
	Rate float64
}

// Budget limits the extra attempts of hedges and retries together. It starts empty,
// so that a restart of many processes allows no extra load. It is not safe for
// concurrent use.
type Budget struct {
	config Config
	total  bucket
	hedges bucket
	// recentFirsts is the number of first attempts, decayed with loadDecayTime.
	recentFirsts float64
	lastDecay    time.Duration
}

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config} }

// OnFirstAttempt counts a first attempt and earns its share of a token.
func (b *Budget) OnFirstAttempt(now time.Duration) {
	b.decay(now)
	b.recentFirsts++
	b.earn(b.config.Share)
}

// TrySpend spends a token on an extra attempt and reports whether one was
// available.
func (b *Budget) TrySpend(now time.Duration, kind Kind) bool {
	b.decay(now)
	if !b.total.has() || kind == KindHedge && !b.hedges.has() {
		return false
	}
	b.total.spend()
	if kind == KindHedge {
		b.hedges.spend()
	}
	return true
}

// SetConfig changes the limits of the budget. Saved tokens beyond the new limits are
// lost.
func (b *Budget) SetConfig(config Config) {
	b.config = config
	b.earn(0)
}

// Fill adds as many tokens as the budget may hold.
func (b *Budget) Fill() {
	b.earn(b.config.Burst)
}

// Tokens returns the number of saved tokens, for metrics.
func (b *Budget) Tokens() float64 { return b.total.tokens }

func (b *Budget) earn(tokens float64) {
	b.total.earn(tokens, b.limit(1))
	b.hedges.earn(tokens*HedgeFraction, b.limit(HedgeFraction))
}

// limit returns the maximum number of tokens in a bucket that gets a fraction of the
// budget: the tokens that recent load has earned, but at least one, so that low load
// can save up for an attempt, and at most the burst.
func (b *Budget) limit(fraction float64) float64 {
	if b.config.Rate > 0 {
		return b.config.Burst * fraction
	}
	earned := b.config.Share * b.recentFirsts * fraction
	return min(max(earned, 1), max(b.config.Burst*fraction, min(b.config.Burst, 1)))
}

func (b *Budget) decay(now time.Duration) {
	elapsed := now - b.lastDecay
	if elapsed < minDecayInterval {
		return
	}
	b.lastDecay = now
	b.recentFirsts *= math.Exp(-float64(elapsed) / float64(loadDecayTime))
	b.earn(b.config.Rate * elapsed.Seconds())
}

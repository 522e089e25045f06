package budget

import (
	"math"
	"time"
)

const (
	// HedgeFraction is the part of the budget that hedges may use. The rest stays
	// for retries, without which a refused attempt costs coverage.
	HedgeFraction = 0.8

	// recentWindow is the time constant of the load that unspent tokens may
	// stand for. Tokens of an earlier, higher load must not hit a fleet whose
	// load has fallen since.
	recentWindow = 10 * time.Second

	// decayStep limits how often the recent load is aged, since each ageing
	// computes an exponential.
	decayStep = 100 * time.Millisecond
)

// Config is the size of a budget.
type Config struct {
	// Share is the extra load as a share of first attempts, 0.05 for 5%.
	Share float64
	// Burst is how many tokens may be saved. Below 1 nothing can be spent.
	Burst float64
	// Rate is how many tokens a second are earned without load, for a bound that
	// allows a constant number of extra attempts in each window. With it tokens
	// are saved whatever the recent load.
	Rate float64
}

// Budget is one budget that hedges and retries share. It starts empty, so that
// a restart of many processes grants no extra load. It is not safe for
// concurrent use.
type Budget struct {
	config Config
	all    bucket
	hedges bucket
	// recent is the number of first attempts, aged by recentWindow.
	recent float64
	aged   time.Duration
}

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config} }

// OnFirstAttempt counts a first attempt at an upstream.
func (b *Budget) OnFirstAttempt(now time.Duration) {
	b.age(now)
	b.recent++
	b.earn(b.config.Share)
}

// TrySpend takes the token of one extra attempt and reports whether there was
// one.
func (b *Budget) TrySpend(now time.Duration, kind Kind) bool {
	b.age(now)
	if !b.all.has() || kind == KindHedge && !b.hedges.has() {
		return false
	}
	b.all.spend()
	if kind == KindHedge {
		b.hedges.spend()
	}
	return true
}

// SetConfig changes the size of the budget. Tokens beyond it are lost.
func (b *Budget) SetConfig(config Config) {
	b.config = config
	b.earn(0)
}

// Fill gives the budget as many tokens as may be saved.
func (b *Budget) Fill() {
	b.earn(b.config.Burst)
}

// Tokens returns how many extra attempts could be spent now, for metrics.
func (b *Budget) Tokens() float64 { return b.all.tokens }

func (b *Budget) earn(tokens float64) {
	b.all.earn(tokens, b.limit(1))
	b.hedges.earn(tokens*HedgeFraction, b.limit(HedgeFraction))
}

// limit returns how many tokens a bucket that gets a part of the budget may
// hold: what recent load has earned, at least one so that little load can save
// up for an attempt, at most the burst.
func (b *Budget) limit(part float64) float64 {
	if b.config.Rate > 0 {
		return b.config.Burst * part
	}
	earned := b.config.Share * b.recent * part
	return min(max(earned, 1), max(b.config.Burst*part, min(b.config.Burst, 1)))
}

func (b *Budget) age(now time.Duration) {
	past := now - b.aged
	if past < decayStep {
		return
	}
	b.aged = now
	b.recent *= math.Exp(-float64(past) / float64(recentWindow))
	b.earn(b.config.Rate * past.Seconds())
}

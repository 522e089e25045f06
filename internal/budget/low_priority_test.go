package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lower priorities that spend the tokens the highest one needs, and
// against lower priorities that get no tokens at low load.
func TestLowerPrioritiesLeaveAReserve(t *testing.T) {
	for _, kind := range []Kind{KindHedge, KindRetry} {
		b := New(Config{Share: 0.05, Burst: 20})
		now := load(b, 0, 10_000, time.Millisecond, func(now time.Duration) {
			for b.TrySpendLowPriority(now, kind) {
			}
		})
		spent := 0
		for b.TrySpend(now, kind) {
			spent++
		}
		assert.Assert(t, spent >= 7, "kind %d: the highest priority got %d", kind, spent)
	}
	low := New(Config{Share: 0.05, Burst: 20})
	now := load(low, 0, 21, time.Minute, func(time.Duration) {})
	assert.Assert(t, low.TrySpendLowPriority(now, KindRetry))
}

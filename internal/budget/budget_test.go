package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// floatError is an upper bound of the rounding error of the tokens in one test.
const floatError = 1e-6

func load(b *Budget, from time.Duration, firsts int, every time.Duration, extra func(now time.Duration)) time.Duration {
	for range firsts {
		b.OnFirstAttempt(from)
		extra(from)
		from += every
	}
	return from
}

// Guards against extra load above the configured share of the first attempts, when
// every first attempt requests extra ones.
func TestExtraLoad(t *testing.T) {
	rows := []struct {
		name   string
		kinds  []Kind
		hedges int
		all    int
	}{
		{"retry storm", []Kind{KindRetry, KindRetry, KindRetry}, 0, 500},
		{"slow fleet with hedges only", []Kind{KindHedge, KindHedge}, 400, 400},
		{"slow fleet with retries after hedges", []Kind{KindHedge, KindRetry}, 400, 500},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b, spent := New(Config{Share: 0.05, Burst: 20}), map[Kind]int{}
			load(b, 0, 10_000, time.Millisecond, func(now time.Duration) {
				for _, k := range row.kinds {
					if b.TrySpend(now, k) {
						spent[k]++
					}
				}
			})
			all := spent[KindHedge] + spent[KindRetry]
			assert.Assert(t, all >= row.all-2 && all <= row.all, "%v", spent)
			assert.Assert(t, spent[KindHedge] <= row.hedges, "%v", spent)
		})
	}
}

// Guards against tokens that were saved under high load and are spent under low
// load, and against a low load at which no retry is ever allowed.
func TestSavedTokensFollowRecentLoad(t *testing.T) {
	b := New(Config{Share: 0.05, Burst: 100})
	now := load(b, 0, 100_000, time.Millisecond, func(time.Duration) {})
	assert.Assert(t, b.Tokens() > 99)
	now += time.Minute
	spent := 0
	for range 100 {
		if b.TrySpend(now, KindRetry) {
			spent++
		}
	}
	assert.Equal(t, spent, 1)
	now = load(b, now, 21, time.Minute, func(time.Duration) {})
	assert.Assert(t, b.TrySpend(now, KindRetry))
	assert.Assert(t, !New(Config{Share: 0.05, Burst: 20}).TrySpend(0, KindRetry))
}

// Guards against any interval in which the extra attempts exceed the burst plus the
// share of the interval's first attempts, or the hedges their fraction of that.
func TestNeverAboveBudgetOverAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{Share: rapid.Float64Range(0, 1).Draw(t, "share"), Burst: rapid.Float64Range(0, 12).Draw(t, "burst")}
		b, now := New(c), time.Duration(0)
		firsts, all, hedges := []float64{0}, []float64{0}, []float64{0}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f, a, h := firsts[len(firsts)-1], all[len(all)-1], hedges[len(hedges)-1]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.OnFirstAttempt(now)
				f++
			case 2:
				kind := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				for range 5 {
					if b.TrySpend(now, kind) {
						a++
						if kind == KindHedge {
							h++
						}
					}
				}
			default:
				now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			}
			firsts, all, hedges = append(firsts, f), append(all, a), append(hedges, h)
		}
		hedgeBurst := max(c.Burst*HedgeFraction, min(c.Burst, 1))
		for i := range all {
			for j := i; j < len(all); j++ {
				n := firsts[j] - firsts[i]
				if all[j]-all[i] > c.Burst+c.Share*n+floatError {
					t.Fatalf("%v extra attempts for %v first attempts", all[j]-all[i], n)
				}
				if hedges[j]-hedges[i] > hedgeBurst+HedgeFraction*c.Share*n+floatError {
					t.Fatalf("%v hedges for %v first attempts", hedges[j]-hedges[i], n)
				}
			}
		}
	})
}

func BenchmarkFirstAndSpend(b *testing.B) {
	budget, now := New(Config{Share: 0.05, Burst: 100}), time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		budget.OnFirstAttempt(now)
		budget.TrySpend(now, KindHedge)
	}
}

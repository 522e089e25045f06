package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// typicalRun is the run time of the stand-in's searches.
	typicalRunTime = 12 * time.Millisecond
	// runSpread is the half width of the uniform spread around typicalRun.
	runTimeSpread = 0.2
	// tailStart and tailShape form a Pareto tail: 1 tail request in 5 takes
	// more than 70 ms.
	tailStart = 2.0
	tailShape = 1.5
	// tailLimit bounds a run at 600 ms.
	tailLimit = 50.0
	// coldFactor is how much longer a cold leaf takes.
	coldFactor = 4
)

// serviceTime draws run times of a warm leaf with a heavy tail.
type serviceTime struct {
	rng *rand.Rand
	// tail is the share of requests whose run time is from the tail.
	tailShare float64
}

func (s *serviceTime) draw() time.Duration {
	factor := 1 - runTimeSpread + 2*runTimeSpread*s.rng.Float64()
	if s.rng.Float64() < s.tailShare {
		factor *= min(tailStart*math.Pow(1-s.rng.Float64(), -1/tailShape), tailLimit)
	}
	return time.Duration(factor * float64(typicalRunTime))
}

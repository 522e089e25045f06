package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// typicalRunTime is the run time of a search in the stand-in.
	typicalRunTime = 12 * time.Millisecond
	// runTimeSpread is the half width of the uniform distribution around
	// typicalRunTime, as a share of it.
	runTimeSpread = 0.2
	// tailStart, a multiple of typicalRunTime, and tailShape are the scale and
	// the shape of the Pareto distribution of slow requests: 1 in 5 of them takes
	// more than 70 ms.
	tailStart = 2.0
	tailShape = 1.5
	// tailLimit, a multiple of typicalRunTime, bounds a run at 600 ms.
	tailLimit = 50.0
	// coldFactor is how many times longer a request takes in a cold leaf.
	coldFactor = 4
)

// serviceTime draws the run times of a warm leaf from a heavy-tailed
// distribution.
type serviceTime struct {
	rng *rand.Rand
	// tailShare is the share of requests whose run time is drawn from the tail.
	tailShare float64
}

func (s *serviceTime) draw() time.Duration {
	factor := 1 - runTimeSpread + 2*runTimeSpread*s.rng.Float64()
	if s.rng.Float64() < s.tailShare {
		factor *= min(tailStart*math.Pow(1-s.rng.Float64(), -1/tailShape), tailLimit)
	}
	return time.Duration(factor * float64(typicalRunTime))
}

package warmup

import "time"

// movingAverage is an exponentially weighted moving average of latencies.
type movingAverage struct {
	weight      float64
	value       time.Duration
	initialized bool
}

func (a *movingAverage) add(d time.Duration) {
	if !a.initialized {
		a.value, a.initialized = d, true
		return
	}
	a.value += time.Duration(a.weight * float64(d-a.value))
}

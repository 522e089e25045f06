package warmup

import "time"

// average is an exponentially weighted moving average of latencies.
type average struct {
	weight float64
	value  time.Duration
	set    bool
}

func (a *average) add(d time.Duration) {
	if !a.set {
		a.value, a.set = d, true
		return
	}
	a.value += time.Duration(a.weight * float64(d-a.value))
}

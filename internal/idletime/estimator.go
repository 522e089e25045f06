package idletime

import "time"

const (
	// resolution is the width of one bucket of ages.
	resolution = 125 * time.Millisecond
	// buckets covers the default idle timeout of the connections.
	buckets = 80
	// minObservations is how many connections of an age must have been found closed,
	// beyond those that were open. A leaf that restarts or closes a connection at
	// random is no evidence.
	minObservations = 3
	// halfLife is the time in which an observation loses half of its weight, so that
	// longer ages are tried again.
	halfLife = time.Minute
)

// Estimator estimates the idle timeout of the leaves of one service. It is not safe for
// concurrent use.
type Estimator struct {
	open, closed [buckets]float64
	decayedAt    time.Duration
	limit        time.Duration
}

// Observe records whether a connection that was idle for some time was still open.
func (e *Estimator) Observe(now, age time.Duration, open bool) {
	e.decay(now)
	at := min(int(age/resolution), buckets-1)
	if open {
		e.open[at]++
	} else {
		e.closed[at]++
	}
	e.limit = e.estimate()
}

// Limit returns the age up to which idle connections are open, or 0 if there is no
// evidence of a limit.
func (e *Estimator) Limit(now time.Duration) time.Duration {
	if e.limit > 0 && now-e.decayedAt >= halfLife {
		e.decay(now)
		e.limit = e.estimate()
	}
	return e.limit
}

// estimate returns the limit that contradicts the fewest observations: connections of
// a lower age that were closed, and those of a higher age that were open.
func (e *Estimator) estimate() time.Duration {
	contradicted := sum(e.open[:])
	best, fewest := 0, contradicted
	for at := range buckets {
		if contradicted < fewest {
			best, fewest = at, contradicted
		}
		contradicted += e.closed[at] - e.open[at]
	}
	noLimit := contradicted
	if noLimit <= fewest || sum(e.closed[best:]) < minObservations {
		return 0
	}
	for best < buckets-1 && e.closed[best] == 0 {
		best++
	}
	return max(time.Duration(best)*resolution, resolution)
}

func sum(weights []float64) (out float64) {
	for _, w := range weights {
		out += w
	}
	return out
}

// decay halves the observations for each half-life that has passed.
func (e *Estimator) decay(now time.Duration) {
	for ; now-e.decayedAt >= halfLife; e.decayedAt += halfLife {
		for at := range buckets {
			e.open[at] /= 2
			e.closed[at] /= 2
		}
	}
}

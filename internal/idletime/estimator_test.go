package idletime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Load pattern: requests to a leaf 0.2 s to 3 s apart, as measured at an aggregator of
// 295 VMs. Guards against idle connections that are taken for open although leaves close
// them after a second, and against a limit where leaves keep them.
func TestLimit(t *testing.T) {
	for name, row := range map[string]struct {
		timeout  time.Duration
		from, to time.Duration
		// every is how many connections of an open age are found open for each one
		// that a leaf closed by a restart; 0 means that none is.
		every int
	}{
		"leaves that close after a second":  {time.Second, 800 * ms, 1000 * ms, 0},
		"after half a second":               {500 * ms, 350 * ms, 500 * ms, 0},
		"with restarts":                     {time.Second, 800 * ms, 1000 * ms, 5},
		"leaves that keep connections open": {time.Minute, 0, 0, 0},
		"with some restarts":                {time.Minute, 0, 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			var e Estimator
			for i := range 300 {
				age := time.Duration(200+(i*37)%2800) * ms
				restarted := row.every > 0 && i%row.every == 0
				e.Observe(time.Second, age, age < row.timeout && !restarted)
			}
			limit := e.Limit(time.Second)
			assert.Assert(t, limit >= row.from && limit <= row.to, "%v", limit)
		})
	}
}

// Guards against a limit from a single closed connection, and against one that stays
// after leaves have been given another timeout.
func TestLimitNeedsEvidenceAndIsForgotten(t *testing.T) {
	var e Estimator
	for range minObservations - 1 {
		e.Observe(0, time.Second, false)
		assert.Equal(t, e.Limit(0), time.Duration(0))
	}
	e.Observe(0, time.Second, false)
	assert.Equal(t, e.Limit(0), time.Second)
	assert.Equal(t, e.Limit(halfLife-1), time.Second)
	assert.Equal(t, e.Limit(halfLife), time.Duration(0))
}

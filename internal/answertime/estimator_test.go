package answertime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const ms = time.Millisecond

// Guards against an answer to a retrying caller that waits for its last shards
// beyond the caller's latency target, and against one that omits shards although
// it is late anyway.
func TestRetryingCallersAreAnsweredEarlier(t *testing.T) {
	route := &fleet.Route{Name: "r", LatencyTarget: 120 * ms}
	rows := []struct {
		name           string
		timeLeft, want time.Duration
	}{
		{"first attempt", 1000 * ms, 100 * ms},
		{"retry after 15 ms", 985 * ms, 85 * ms},
		{"retry after 50 ms", 950 * ms, 50 * ms},
		{"too late for the target", 900 * ms, 120 * ms},
		{"remaining time unknown", 0, 100 * ms},
	}
	table := New()
	for _, row := range rows {
		assert.Equal(t, table.Target(route, row.timeLeft), row.want, row.name)
	}
	assert.Equal(t, New().Target(&fleet.Route{Name: "short", LatencyTarget: 30 * ms}, 100*ms), 15*ms)
}

// Guards against stale limits of removed routes, and against an estimator that
// grows with each change of the configuration.
func TestRemovedRoutesAreDropped(t *testing.T) {
	table := New()
	route := &fleet.Route{Name: "r", LatencyTarget: 120 * ms}
	table.Target(route, 1000*ms)
	table.Retain(&fleet.Configuration{})
	assert.Equal(t, len(table.limits), 0)
}

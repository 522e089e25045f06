package answertime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const ms = time.Millisecond

// Load pattern: callers come back after a refusal. Guards against an answer that
// waits for its last shards beyond the caller's latency target, and against one
// that leaves shards out although it is late anyway.
func TestCallersThatComeBackAreAnsweredEarlier(t *testing.T) {
	route := &fleet.Route{Name: "r", LatencyTarget: 120 * ms}
	rows := []struct {
		name           string
		timeLeft, want time.Duration
	}{
		{"first attempt", 1000 * ms, 100 * ms},
		{"back after 15 ms", 985 * ms, 85 * ms},
		{"back after 50 ms", 950 * ms, 50 * ms},
		{"too late for the target", 900 * ms, 120 * ms},
		{"no time stated", 0, 100 * ms},
	}
	table := New()
	for _, row := range rows {
		assert.Equal(t, table.Target(route, row.timeLeft), row.want, row.name)
	}
	assert.Equal(t, New().Target(&fleet.Route{Name: "short", LatencyTarget: 30 * ms}, 100*ms), 15*ms)
}

// Guards against limits of routes that are gone, and a table that grows with
// each change of the configuration.
func TestRoutesThatAreGoneAreDropped(t *testing.T) {
	table := New()
	route := &fleet.Route{Name: "r", LatencyTarget: 120 * ms}
	table.Target(route, 1000*ms)
	table.Retain(&fleet.Configuration{})
	assert.Equal(t, len(table.limits), 0)
}

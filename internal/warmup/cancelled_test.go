package warmup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cancelled hedge attempt that counts as load shedding, and
// against a slow leaf that stays warm because all its requests are cancelled.
func TestCancelled(t *testing.T) {
	for name, tc := range map[string]struct {
		ran  time.Duration
		want State
	}{
		"short": {15 * time.Millisecond, Warm},
		"long":  {40 * time.Millisecond, Cold},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(Config{Slots: 2})
			tr.Step(0, Report{Boot: 7})
			tr.Step(0, PeerReportedWarm{Boot: 7, Baseline: 10 * time.Millisecond})
			for range slowRepliesToCold {
				tr.Step(time.Second, Dispatched{})
				tr.Step(time.Second, Cancelled{RunTime: tc.ran})
			}
			assert.Equal(t, tr.State(), tc.want)
			assert.Equal(t, tr.Limit(time.Second).NotBefore, time.Duration(0))
		})
	}
}

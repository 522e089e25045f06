package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const s = time.Second

func started() *Detector {
	d := New(s, DefaultTolerance)
	d.Tick(0)
	return d
}

// Guards against a pause that is missed, detected where there is none, or
// reported twice.
func TestTick(t *testing.T) {
	rows := []struct {
		name  string
		ticks []time.Duration
		want  []bool
	}{
		{"first tick is late", []time.Duration{9 * s, 10 * s}, []bool{false, false}},
		{"tick is late by the tolerance", []time.Duration{0, 2500 * time.Millisecond}, []bool{false, false}},
		{"tick is late by more than the tolerance", []time.Duration{0, 2500*time.Millisecond + 1, 4 * s}, []bool{false, true, false}},
		{"two pauses", []time.Duration{0, 5 * s, 10 * s}, []bool{false, true, true}},
	}
	for _, row := range rows {
		d := New(s, DefaultTolerance)
		for i, at := range row.ticks {
			assert.Equal(t, d.Tick(at), row.want[i], "%s: tick %d", row.name, i)
		}
	}
}

// Guards against work that is accepted with an outdated configuration, and
// against work that is refused forever when no confirmation arrives.
func TestRefusesUntilConfirmed(t *testing.T) {
	d := started()
	assert.Assert(t, d.MayAccept(2*s))
	assert.Assert(t, d.Tick(5*s) && !d.MayAccept(5*s))
	d.Confirm(5*s - 1) // requested before the pause was detected
	assert.Assert(t, !d.MayAccept(5*s+1))
	d.Confirm(5 * s)
	assert.Assert(t, d.MayAccept(5*s+2))

	assert.Assert(t, d.Tick(10*s) && !d.MayAccept(11*s-1))
	assert.Assert(t, d.MayAccept(11*s))
}

// Guards against work that is accepted after a pause because it is read before
// the timer fires.
func TestWorkBeforeTheLateTick(t *testing.T) {
	d := started()
	assert.Assert(t, !d.MayAccept(5*s) && !d.MayAccept(5*s+1))
	assert.Assert(t, d.Tick(5*s+2))
	assert.Assert(t, !d.Tick(6*s))
	assert.Assert(t, d.MayAccept(6*s))
}

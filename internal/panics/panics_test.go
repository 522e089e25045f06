package panics

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a panic that ends the process, is not counted, or leaves a mutex
// locked, so that all other requests wait forever.
func TestPanicIsRecordedAndUnlocks(t *testing.T) {
	recorder := NewRecorder(metrics.NewRegistry())
	var inDoubt []any
	mu := Mutex{OnPanic: func(value any) { inDoubt = append(inDoubt, value) }}
	after := 0
	work := func(fail bool) {
		defer recorder.Recover("step", "request-1", func() { after++ })
		mu.Lock()
		defer mu.Unlock()
		if fail {
			panic("broken")
		}
	}
	work(false)
	assert.Equal(t, len(inDoubt), 0)
	work(true)
	assert.DeepEqual(t, inDoubt, []any{"broken"})
	work(false)
	assert.Equal(t, recorder.Count(), int64(1))
	assert.Equal(t, after, 1)
}

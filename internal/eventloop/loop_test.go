package eventloop

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that run out of order, which would make runs with the same
// seed differ, and against a call that runs before the current time.
func TestCallsRunInOrder(t *testing.T) {
	var l Loop
	var got []int
	call := func(n int) func() { return func() { got = append(got, n) } }
	l.At(2, call(3))
	l.At(1, func() { call(1)(); l.At(0, call(2)) })
	l.At(2, call(4))
	l.After(9, call(5))
	l.RunUntil(8)
	assert.DeepEqual(t, got, []int{1, 2, 3, 4})
	assert.Equal(t, l.Now, time.Duration(8))
	assert.Assert(t, l.RunNext(9) && !l.RunNext(time.Hour))
}

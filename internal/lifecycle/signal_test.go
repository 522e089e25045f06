package lifecycle

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that a second stop signal terminates during its graceful
// stop.
func TestSecondStopSignalEndsNothing(t *testing.T) {
	ctx, cancel := StopContext(context.Background())
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the signal did not cancel the context")
	}
	cancel()
	// The default action of the signal would terminate the test process.
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond)
}

package lifecycle

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that ends on SIGHUP, which cut off its callers'
// requests, and against settings that change without a signal and are not read.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloads := make(chan struct{}, 10)
	OnReload(ctx, path, func() { reloads <- struct{}{} })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	expect(t, reloads, time.Second)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(path, later, later))
	expect(t, reloads, 2*filePoll)
}

// Guards against a process that ends on SIGHUP while it stops: its callers' requests
// are still running then.
func TestHangupWhileStoppingEndsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	ctx, cancel := context.WithCancel(context.Background())
	reloads := make(chan struct{}, 10)
	ended := OnReload(ctx, path, func() { reloads <- struct{}{} })
	cancel()
	<-ended
	// The default action of the signal would end the test.
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(reloads), 0)
}

func expect(t *testing.T, reloads <-chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-reloads:
	case <-time.After(within):
		t.Fatalf("no reload within %s", within)
	}
}

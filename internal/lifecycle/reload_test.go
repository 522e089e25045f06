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

// Guards against a process that SIGHUP terminates, which aborted its callers'
// requests, and against a change of the settings file without a signal that is not
// noticed.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte("a"), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloads := make(chan struct{}, 10)
	OnReload(ctx, path, func() { reloads <- struct{}{} })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	expectReload(t, reloads, time.Second)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(path, later, later))
	expectReload(t, reloads, 2*filePollInterval)
}

// Guards against a process that SIGHUP terminates during its graceful stop, while
// its callers' requests are still running.
func TestHangupWhileStoppingEndsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	ctx, cancel := context.WithCancel(context.Background())
	reloads := make(chan struct{}, 10)
	stopped := OnReload(ctx, path, func() { reloads <- struct{}{} })
	cancel()
	<-stopped
	// The default action of the signal would terminate the test process.
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(reloads), 0)
}

func expectReload(t *testing.T, reloads <-chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-reloads:
	case <-time.After(within):
		t.Fatalf("no reload within %s", within)
	}
}

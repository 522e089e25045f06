package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// filePollInterval is the time between two checks of the settings file, which may
// change without a signal.
const filePollInterval = 2 * time.Second

// OnReload calls a function on each SIGHUP and after each change of a file until
// the context is cancelled. It then closes the returned channel. By default, SIGHUP would
// terminate the process. OnReload keeps the signal caught, but without effect, after
// the context is cancelled, since a process that is stopping still has running requests.
func OnReload(ctx context.Context, path string, reload func()) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		poll := time.NewTicker(filePollInterval)
		defer poll.Stop()
		for lastModTime := modTime(path); ; {
			select {
			case <-signals:
				reload()
			case <-poll.C:
				if now := modTime(path); now != lastModTime {
					lastModTime = now
					reload()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopped
}

// IgnoreHangup prevents SIGHUP from terminating a process that has not called
// OnReload yet.
func IgnoreHangup() { signal.Ignore(syscall.SIGHUP) }

// modTime returns the modification time of a file, or the zero time if it can't be
// determined. A file that is removed or created thus counts as changed.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

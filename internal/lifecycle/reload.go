package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// filePoll is the time between two looks at the settings file, which may change
// without a signal.
const filePoll = 2 * time.Second

// OnReload calls a function for each SIGHUP and after each change of a file,
// until the context is done; then it closes the channel that it returned. Without
// it the signal ends the process. After the context is done the signal does
// nothing: a process that stops still has requests to answer.
func OnReload(ctx context.Context, path string, reload func()) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		poll := time.NewTicker(filePoll)
		defer poll.Stop()
		for changed := modified(path); ; {
			select {
			case <-signals:
				reload()
			case <-poll.C:
				if now := modified(path); now != changed {
					changed = now
					reload()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ended
}

// IgnoreHangup keeps SIGHUP from ending a process that does not listen for it yet.
func IgnoreHangup() { signal.Ignore(syscall.SIGHUP) }

// modified returns when a file was written last. A file that cannot be looked at
// counts as unchanged until it can: the zero time, then another.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

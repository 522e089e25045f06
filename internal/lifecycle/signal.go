package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopContext is done when the process is asked to stop by SIGTERM or SIGINT, or
// when the returned function is called. The signals stay caught until the process
// has ended: a second one would end it before its stop is complete.
func StopContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopContext returns a context that is cancelled by SIGTERM, by SIGINT or by the
// returned function. The signals stay caught until the process exits, since a second
// signal would otherwise terminate it before its graceful stop is complete.
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

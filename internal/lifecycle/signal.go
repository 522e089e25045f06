package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// StopContext is done when the process is asked to stop by SIGTERM or SIGINT.
func StopContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
}

// OnReload calls a function for each SIGHUP until the context is done. Without
// it the signal ends the process.
func OnReload(ctx context.Context, reload func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				reload()
			case <-ctx.Done():
				return
			}
		}
	}()
}

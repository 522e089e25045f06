package lifecycle

import (
	"context"
	"os/signal"
	"syscall"
)

// StopContext is done when the process is asked to stop by SIGTERM or SIGINT.
func StopContext(parent context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(parent, syscall.SIGTERM, syscall.SIGINT)
}

package leafconn

import (
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/idletime"
)

// IdleLimit is the estimated idle timeout of leaves that do not state one. The pools of
// leaves of one kind share it. It is safe for concurrent use.
type IdleLimit struct {
	started time.Time

	mu        sync.Mutex
	estimator idletime.Estimator
}

// NewIdleLimit returns a limit without observations.
func NewIdleLimit() *IdleLimit { return &IdleLimit{started: time.Now()} }

// observe records whether a connection that was idle for some time was still open.
func (l *IdleLimit) observe(age time.Duration, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator.Observe(time.Since(l.started), age, open)
}

// timeout returns the estimated idle timeout, or defaultIdleTimeout.
func (l *IdleLimit) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.estimator.Limit(time.Since(l.started)); limit > 0 {
		return min(limit, defaultIdleTimeout)
	}
	return defaultIdleTimeout
}

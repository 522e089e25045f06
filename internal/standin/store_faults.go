package standin

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// StoreFaults holds the faults that are injected into a Store.
type StoreFaults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	lostReplies int
}

// SetDown sets whether every call fails.
func (f *StoreFaults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay sets the delay of every call.
func (f *StoreFaults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseReplies makes the next n writes return an error after they are applied.
func (f *StoreFaults) LoseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostReplies = n
}

// Faults returns the faults of the store. They can be changed at any time.
func (s *Store) Faults() *StoreFaults { return &s.faults }

func (f *StoreFaults) checkUp() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return connect.NewError(connect.CodeUnavailable, errors.New("store is down"))
	}
	return nil
}

func (f *StoreFaults) waitDelay(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *StoreFaults) takeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == 0 {
		return false
	}
	f.lostReplies--
	return true
}

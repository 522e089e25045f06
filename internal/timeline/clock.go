package timeline

import (
	"sync"
	"time"
)

// maxAhead bounds how far a received stamp may move the clock ahead of the
// wall clock, so that one process with a wrong clock cannot distort the others.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over a wall clock, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp after all that were returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixNano()
	if wall > c.last.WallNS {
		c.last = Stamp{WallNS: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe takes in the stamp of a received message.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.wall().Add(maxAhead).UnixNano()
	if s.WallNS <= limit && c.last.Before(s) {
		c.last = s
	}
}

package timeline

import (
	"sync"
	"time"
)

// maxAhead limits how far a received stamp can set the clock ahead of the wall
// clock, so that one process with a wrong clock can't distort the stamps of others.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads wall time from a function, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp that orders after all stamps returned or adopted before.
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

// Observe adopts the stamp of a received message if it is later than the last one,
// unless it is more than maxAhead ahead of the wall clock.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.wall().Add(maxAhead).UnixNano()
	if s.WallNS <= limit && c.last.Before(s) {
		c.last = s
	}
}

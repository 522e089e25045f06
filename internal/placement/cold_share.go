package placement

import "time"

// coldWindow is the window of the bound of a cold leaf. Requests of one window
// may arrive closer together than they were sent, hence the margin.
const coldWindow = time.Second + 100*time.Millisecond

// coldShare is this VM's part of the requests that a cold leaf bears in a
// second. It answers a cold return under full load, where all VMs would
// otherwise send at once.
type coldShare struct {
	limit int
	sent  []time.Duration
}

// room reports whether one more request fits.
func (c *coldShare) room(now time.Duration) bool {
	keep := c.sent[:0]
	for _, at := range c.sent {
		if now-at < coldWindow {
			keep = append(keep, at)
		}
	}
	c.sent = keep
	return len(c.sent) < c.limit
}

func (c *coldShare) take(now time.Duration) { c.sent = append(c.sent, now) }

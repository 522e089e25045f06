package placement

import "time"

// coldWindow is the sliding window of the rate limit of a cold leaf. It exceeds
// one second because requests may arrive closer together than they were sent.
const coldWindow = time.Second + 100*time.Millisecond

// coldLimiter limits the requests that this VM sends to a cold leaf in
// coldWindow. When leaves return cold under full load, it keeps all VMs from
// sending to them at once.
type coldLimiter struct {
	limit int
	sent  []time.Duration
}

// allows reports whether one more request is within the limit.
func (c *coldLimiter) allows(now time.Duration) bool {
	keep := c.sent[:0]
	for _, at := range c.sent {
		if now-at < coldWindow {
			keep = append(keep, at)
		}
	}
	c.sent = keep
	return len(c.sent) < c.limit
}

func (c *coldLimiter) record(now time.Duration) { c.sent = append(c.sent, now) }

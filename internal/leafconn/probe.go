package leafconn

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Presence is what a dial shows about a leaf.
type Presence uint8

// Presences.
const (
	// PresenceUnknown is that of a leaf whose host does not respond.
	PresenceUnknown Presence = iota
	// Listening is that of a leaf that accepts connections.
	Listening
	// Ended is that of a leaf whose host refuses connections to its port.
	Ended
)

// Probe dials the leaf and returns its presence. The connection is kept for the next
// request.
func (p *Pool) Probe(ctx context.Context) Presence {
	raw, err := p.dial(ctx, p.addr)
	switch {
	case err == nil:
		c := newConn(raw)
		c.idleSince = time.Now()
		p.putConn(c)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	}
	return PresenceUnknown
}

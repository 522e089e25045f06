package measure

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
)

const (
	// localDelay is one way within an availability zone.
	localDelay = 300 * time.Microsecond
	// callerDelay is one way between a caller and an entry.
	callerDelay = 3 * time.Millisecond

	lossRate = 0.01
	// timeoutShare is the share of losses that only a retransmission time-out
	// repairs; the others are repaired within about one and a half round trips.
	retransmitShare = 0.2
	// retransmitTimeout is the lowest that TCP stacks use.
	retransmitTimeout = 200 * time.Millisecond
	// lossyJitter is the mean of the variable delay of a lossy link.
	lossyJitter = 3 * time.Millisecond
	// lanes is the number of relays per availability zone, each with a
	// connection of its own.
	relaysPerZone = 3
)

// lane is one direction of a connection between two availability zones.
type connectionDirection struct{ from, to, relay int }

// network delivers messages between availability zones.
type network struct {
	loop           *eventloop.Loop
	rng            *rand.Rand
	interZoneDelay time.Duration
	// lossy is set for the link between the first two availability zones.
	lossy       bool
	lastArrival map[connectionDirection]time.Duration
}

// send delivers a message. A lost one holds up those behind it on its
// connection.
func (n *network) send(from, to, relayNumber int, deliver func()) {
	if from == to {
		n.loop.After(localDelay, deliver)
		return
	}
	if !n.lossy || from > 1 || to > 1 {
		n.loop.After(n.interZoneDelay, deliver)
		return
	}
	key := connectionDirection{from: from, to: to, relay: relayNumber % relaysPerZone}
	arrival := max(n.loop.Now+n.interZoneDelay+n.lossyDelay(), n.lastArrival[key])
	n.lastArrival[key] = arrival
	n.loop.At(arrival, deliver)
}

func (n *network) lossyDelay() time.Duration {
	d := time.Duration(n.rng.ExpFloat64() * float64(lossyJitter))
	if n.rng.Float64() >= lossRate {
		return d
	}
	if n.rng.Float64() < retransmitShare {
		return d + retransmitTimeout
	}
	return d + 3*n.interZoneDelay
}

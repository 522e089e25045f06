package measure

import (
	"math/rand/v2"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/eventloop"
)

const (
	// localDelay is the one-way delay within an availability zone.
	localDelay = 300 * time.Microsecond
	// callerDelay is the one-way delay between a caller and an entry.
	callerDelay = 3 * time.Millisecond

	// lossRate is the share of messages that a lossy link loses.
	lossRate = 0.01
	// retransmitShare is the share of losses that TCP repairs only after its
	// retransmission timeout. It repairs the others by fast retransmission,
	// within about one and a half round trips.
	retransmitShare = 0.2
	// retransmitTimeout is the lowest retransmission timeout that TCP stacks use.
	retransmitTimeout = 200 * time.Millisecond
	// lossyJitter is the mean of the variable delay of a lossy link.
	lossyJitter = 3 * time.Millisecond
	// relaysPerZone is the number of relays per availability zone, each of which
	// has its own connection to an entry.
	relaysPerZone = 3
)

// connectionDirection identifies one direction of a connection between two availability zones.
type connectionDirection struct{ from, to, relay int }

// network delivers messages between availability zones.
type network struct {
	loop           *eventloop.Loop
	rng            *rand.Rand
	interZoneDelay time.Duration
	// lossy makes the link between the first two availability zones lose
	// messages.
	lossy bool
	// lastArrival is the latest arrival time in each direction of a connection.
	lastArrival map[connectionDirection]time.Duration
}

// send delivers a message after the network delay. A lost message delays those
// behind it on the same connection, since TCP delivers in order.
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

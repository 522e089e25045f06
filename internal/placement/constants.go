package placement

import "time"

const (
	// leafSmoothing is the weight of one request in a leaf's moving averages. Five
	// requests suffice to detect a leaf that has become slow.
	leafSmoothing = 0.2
	// routeSmoothing is the weight of one reply in a route's moving average.
	routeSmoothing = 0.02
	// decayTime is the time constant of the decay of a leaf's slowness and failure
	// rate. Slow and failing phases last a few seconds.
	decayTime = 3 * time.Second
	// maxSlowness bounds one observation, so that one straggler does not exclude
	// its leaf for long.
	maxSlowness = 8
	// slowThreshold is the slowness from which a leaf is reported to other VMs. A
	// single pause of the leaf does not reach it.
	slowThreshold = 2
	// outlierFactor limits the time that a slow reply adds to a route's average to
	// this multiple of the average.
	outlierFactor = 3
	// initialExpectedTime is the expected time of a request before the first reply.
	initialExpectedTime = 15 * time.Millisecond
	// loadLifetime is how long a reported load describes the leaf's queue: the
	// duration of a few requests.
	loadLifetime = 100 * time.Millisecond
	// suspectFactor times the expected time is the age from which a request is
	// overdue and its leaf suspect.
	suspectFactor = 3
	// minSuspectAge is the least age of an overdue request, so that scheduling
	// delays do not make a leaf suspect.
	minSuspectAge = 20 * time.Millisecond
	// suspectCost is added to the expected time of a suspect leaf. It is about the
	// length of a pause.
	suspectCost = 100 * time.Millisecond
	// connectCost is added to the expected time if a new connection is needed: a
	// round trip between zones and the leaf's handshake.
	connectCost = 12 * time.Millisecond
	// failureCost is added to the expected time of a leaf that fails all requests,
	// and in proportion if it fails some.
	failureCost = 400 * time.Millisecond
	// failureThreshold is the failure rate from which a leaf is not healthy.
	failureThreshold = 0.3
	// coldSlowness multiplies the expected time of a cold leaf.
	coldSlowness = 1.6
	// unresponsiveAfter is how many consecutive requests without a reply make a
	// leaf unresponsive.
	unresponsiveAfter = 2
	// retryMin and retryMax bound the exponential backoff before an unreachable or
	// unresponsive leaf is tried again.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// A zone is unreachable after zoneUnreachableAfter consecutive requests without
	// a reply from any of its leaves and at least zoneUnreachableTime since the last
	// reply. At a few requests per second, that is longer than a pause of a leaf.
	zoneUnreachableAfter = 4
	zoneUnreachableTime  = 150 * time.Millisecond
	// zoneProbeInterval is the time between two probes of an unreachable zone.
	zoneProbeInterval = 200 * time.Millisecond
	// unheardAfter is how long only VMs with a share send to a limited leaf after a VM last
	// heard of the limit. They may have no requests for it, so that nobody would learn
	// that the limit has ended.
	unheardAfter = 10 * time.Second
	// connectionFraction is the part of a leaf's connections that is divided among
	// the VMs. The leaf still counts connections of VMs that have just stopped.
	connectionFraction = 0.9
	// spareMembers allows for VMs that have joined but are not yet known to this VM.
	spareMembers = 2
	// minConnections allows a second request while the first one is blocked.
	minConnections = 2
	// maxConnections exceeds what a leaf with a few slots can use concurrently.
	maxConnections = 6
)

package placement

import "time"

const (
	// smoothing is the weight of one request in a leaf's averages: five requests
	// show a leaf that turned slow.
	smoothing = 0.2
	// routeSmoothing is the weight of one reply in a route's average.
	routeSmoothing = 0.02
	// memory is the time constant in which what is known of a leaf fades. Slow
	// and failing phases last a few seconds.
	memory = 3 * time.Second
	// maxSlowness bounds one observation, so that one straggler does not exclude
	// its leaf for long.
	maxSlowness = 8
	// slowFrom is the slowness from which other VMs are told of a leaf. One pause
	// does not reach it.
	slowFrom = 2
	// outlier is the multiple of the average above which a reply counts as it.
	outlier = 3
	// unknownTime is the expected time of a request before the first reply.
	unknownTime = 15 * time.Millisecond
	// loadLifetime is how long a stated load says something about the queue:
	// a few requests' times.
	loadLifetime = 100 * time.Millisecond
	// suspectFactor times the expected time makes the oldest request overdue.
	suspectFactor = 3
	// minSuspectAge keeps scheduling delays from making a leaf suspect.
	minSuspectAge = 20 * time.Millisecond
	// suspectCost is added to the expected time of a suspect leaf, about the
	// length of a pause.
	suspectCost = 100 * time.Millisecond
	// connectCost is the added time of a new connection: a round trip between zones
	// and the leaf's handshake.
	connectCost = 12 * time.Millisecond
	// failureCost is the added time of a leaf that fails all requests.
	failureCost = 400 * time.Millisecond
	// failingAbove is the recent failure share from which a leaf is not sound.
	failingAbove = 0.3
	// coldFactor is the slowness of a cold leaf before it was observed.
	coldFactor = 1.6
	// silentAfter requests in a row without a reply make a leaf silent.
	silentAfter = 2
	// retryMin and retryMax bound the pause before a leaf that could not be
	// reached is tried again.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// zoneDownAfter requests in a row to leaves of a zone without a sign of life,
	// and none for zoneDownTime, mean that the zone cannot be reached. At a few
	// requests a second that takes longer than a pause of a leaf.
	zoneDownAfter = 4
	zoneDownTime  = 150 * time.Millisecond
	// zoneTrialEvery is the time between trials of a zone that is down.
	zoneTrialEvery = 200 * time.Millisecond
	// connectionReserve is the part of a leaf's connections that is shared out.
	// The leaf also counts connections of VMs that have just ended.
	connectionReserve = 0.9
	// spareMembers is how many VMs may join before this VM learns of them.
	spareMembers = 2
	// minConnections lets a request pass another one that is stuck.
	minConnections = 2
	// maxConnections is above what a leaf with a few slots can use at a time.
	maxConnections = 6
)

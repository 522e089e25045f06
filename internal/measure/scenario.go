package measure

import "time"

const (
	// rampTime precedes the measured part of a run, so that leaves become warm
	// and estimates exist.
	rampTime = 6 * time.Second
	// measuredTime is the length of the measured part: about 1,400 queries at
	// steadyUtilization.
	measuredTime = 14 * time.Second
	// zoneOutBackTime covers one zone that leaves and returns, zonesInTurnTime
	// two, and overloadTime 3,300 queries of an overload.
	zoneOutBackTime = 20 * time.Second
	zonesInTurnTime = 32 * time.Second
	overloadTime    = 5 * time.Second
	// faultAt is when the fault of a scenario starts.
	faultAt = rampTime + 4*time.Second

	// steadyUtilization leaves enough capacity that a fleet can lose half of its
	// leaves without overload.
	steadyUtilization = 0.3
	// lowPriorityShare is the share of the queries that have the class of lower
	// priority.
	lowPriorityShare = 0.1

	// overloadUtilization is twice the capacity. The main class alone needs half
	// of the capacity.
	overloadUtilization      = 2
	overloadLowPriorityShare = 0.75

	steadyTailShare    = 0.01
	stragglerTailShare = 0.03

	// slowReplicaDelay is the time that a slow replica adds to each request.
	slowReplicaDelay = 80 * time.Millisecond
	// configDelay is the longest time until an edit is active on a VM. The
	// target is 6 s; a push takes a few round trips.
	configDelay = time.Second
	// leafStopDelay is the time from an edit that takes an availability zone out
	// to the stop of its leaves.
	leafStopDelay = 6 * time.Second
	// zoneOutTime is the time from that edit to the restart of the zone's leaves.
	zoneOutTime = 7 * time.Second
	// zoneOutInterval is the time from the restart of one availability zone to
	// the edit that takes the next one out.
	zoneOutInterval = 10 * time.Second
)

// Scenario describes the load of a run and the fault that occurs in it.
type Scenario struct {
	Name string
	// Length is the measured part of the run.
	Length time.Duration
	// Utilization is the share of the capacity that the queries need.
	Utilization float64
	// LowPriorityShare is the share of the queries that have the class of lower
	// priority.
	LowPriorityShare float64
	TailShare        float64
	LossyLink        bool
	// ZoneChanges is true if availability zones leave and return.
	ZoneChanges bool
	// Overload is true if the load exceeds the capacity.
	Overload bool
	// fault schedules the faults, or is nil.
	fault func(*sim)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	base := Scenario{Length: measuredTime, Utilization: steadyUtilization, LowPriorityShare: lowPriorityShare, TailShare: steadyTailShare}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("stragglers", func(s *Scenario) { s.TailShare = stragglerTailShare }),
		with("slow-replica", func(s *Scenario) { s.fault = slowReplicaFault }),
		with("dead-replica", func(s *Scenario) { s.fault = deadReplicaFault }),
		with("cold-restart", func(s *Scenario) { s.fault = coldRestartFault }),
		with("cold-silent", func(s *Scenario) { s.fault = silentColdFault }),
		with("lossy-link", func(s *Scenario) { s.LossyLink = true }),
		with("zone-out-back", func(s *Scenario) { s.ZoneChanges, s.fault, s.Length = true, zoneOutBackFault, zoneOutBackTime }),
		with("zones-in-turn", func(s *Scenario) { s.ZoneChanges, s.fault, s.Length = true, zonesInTurnFault, zonesInTurnTime }),
		with("overload", func(s *Scenario) {
			s.Utilization, s.LowPriorityShare, s.Overload, s.Length = overloadUtilization, overloadLowPriorityShare, true, overloadTime
		}),
	}
}

func slowReplicaFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].extraRunTime = slowReplicaDelay })
}

func deadReplicaFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].kill() })
}

func coldRestartFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].restart() })
}

func silentColdFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].turnCold() })
}

func zoneOutBackFault(s *sim) { s.takeZoneOutAndBack(1, faultAt, zoneOutTime) }

// zonesInTurnFault takes a second availability zone out soon after the first
// has returned, so that the leaves of the first must be warm by then.
func zonesInTurnFault(s *sim) {
	s.takeZoneOutAndBack(1, faultAt, zoneOutTime)
	s.takeZoneOutAndBack(2, faultAt+zoneOutTime+zoneOutInterval, zoneOutTime)
}

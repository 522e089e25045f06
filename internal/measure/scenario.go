package measure

import "time"

const (
	// rampTime is before the measured part, so that leaves get warm and
	// estimates exist.
	rampTime = 6 * time.Second
	// runTime is the measured part: about 1,400 queries at steadyUse.
	measuredTime = 14 * time.Second
	// zoneTime and turnsTime cover one change of availability zones and two,
	// and overloadTime 3,300 queries of an overload.
	zoneOutBackTime = 20 * time.Second
	zonesInTurnTime = 32 * time.Second
	overloadTime    = 5 * time.Second
	// faultAt is when the fault of a scenario begins.
	faultAt = rampTime + 4*time.Second

	// steadyUse is the share of the capacity in use, so that a fleet that
	// loses half of its leaves stays within it.
	steadyUtilization = 0.3
	// sideShare is the part of the queries that are of the lower class.
	lowPriorityShare = 0.1

	// overloadUse is twice the capacity; the main class alone needs half of it.
	overloadUtilization      = 2
	overloadLowPriorityShare = 0.75

	steadyTailShare    = 0.01
	stragglerTailShare = 0.03

	// slowReplica is what a slow replica adds to each run.
	slowReplicaDelay = 80 * time.Millisecond
	// configDelay is how long an edit takes to be in force on a VM. The
	// target is 6 s; a push takes a few round trips.
	configDelay = time.Second
	// stopDelay is from an edit that takes an availability zone out to the
	// stop of its leaves, and awayTime from that edit to the one that brings
	// it back.
	leafStopDelay = 6 * time.Second
	zoneOutTime   = 7 * time.Second
	// betweenZones is from the return of one availability zone to the edit
	// that takes the next one out.
	zoneOutInterval = 10 * time.Second
)

// Scenario is a load and a fault.
type Scenario struct {
	Name string
	// Length is the measured part of the run.
	Length time.Duration
	// Use is the share of the capacity that the queries need.
	Utilization float64
	// SideShare is the part of the queries that are of the lower class.
	LowPriorityShare float64
	TailShare        float64
	LossyLink        bool
	// Zones says that availability zones leave and return.
	ZoneChanges bool
	// Overload says that the load exceeds the capacity.
	Overload bool
	// fault schedules what goes wrong.
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

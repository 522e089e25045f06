package measure

import "time"

const (
	// rampTime is before the measured part, so that leaves get warm and
	// estimates exist.
	rampTime = 6 * time.Second
	// runTime is the measured part: about 1,400 queries at steadyUse.
	runTime = 14 * time.Second
	// zoneTime and turnsTime cover one change of availability zones and two,
	// and overloadTime 3,300 queries of an overload.
	zoneTime     = 20 * time.Second
	turnsTime    = 32 * time.Second
	overloadTime = 5 * time.Second
	// faultAt is when the fault of a scenario begins.
	faultAt = rampTime + 4*time.Second

	// steadyUse is the share of the capacity in use, so that a fleet that
	// loses half of its leaves stays within it.
	steadyUse = 0.3
	// sideShare is the part of the queries that are of the lower class.
	sideShare = 0.1

	// overloadUse is twice the capacity; the main class alone needs half of it.
	overloadUse  = 2
	overloadSide = 0.75

	steadyTail    = 0.01
	stragglerTail = 0.03

	// slowReplica is what a slow replica adds to each run.
	slowReplica = 80 * time.Millisecond
	// configDelay is how long an edit takes to be in force on a VM. The
	// target is 6 s; a push takes a few round trips.
	configDelay = time.Second
	// stopDelay is from an edit that takes an availability zone out to the
	// stop of its leaves, and awayTime from that edit to the one that brings
	// it back.
	stopDelay = 6 * time.Second
	awayTime  = 7 * time.Second
	// betweenZones is from the return of one availability zone to the edit
	// that takes the next one out.
	betweenZones = 10 * time.Second
)

// Scenario is a load and a fault.
type Scenario struct {
	Name string
	// Length is the measured part of the run.
	Length time.Duration
	// Use is the share of the capacity that the queries need.
	Use float64
	// SideShare is the part of the queries that are of the lower class.
	SideShare float64
	Tail      float64
	Lossy     bool
	// Zones says that availability zones leave and return.
	Zones bool
	// Overload says that the load exceeds the capacity.
	Overload bool
	// fault schedules what goes wrong.
	fault func(*sim)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	base := Scenario{Length: runTime, Use: steadyUse, SideShare: sideShare, Tail: steadyTail}
	with := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		with("steady", func(*Scenario) {}),
		with("stragglers", func(s *Scenario) { s.Tail = stragglerTail }),
		with("slow-replica", func(s *Scenario) { s.fault = slowFault }),
		with("dead-replica", func(s *Scenario) { s.fault = deadFault }),
		with("cold-restart", func(s *Scenario) { s.fault = restartFault }),
		with("cold-silent", func(s *Scenario) { s.fault = silentColdFault }),
		with("lossy-link", func(s *Scenario) { s.Lossy = true }),
		with("zone-out-back", func(s *Scenario) { s.Zones, s.fault, s.Length = true, zoneFault, zoneTime }),
		with("zones-in-turn", func(s *Scenario) { s.Zones, s.fault, s.Length = true, zonesInTurnFault, turnsTime }),
		with("overload", func(s *Scenario) {
			s.Use, s.SideShare, s.Overload, s.Length = overloadUse, overloadSide, true, overloadTime
		}),
	}
}

func slowFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].slowBy = slowReplica })
}

func deadFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].die() })
}

func restartFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].restart() })
}

func silentColdFault(s *sim) {
	s.At(faultAt, func() { s.leaves[0].turnCold() })
}

func zoneFault(s *sim) { s.zoneAway(1, faultAt, awayTime) }

// zonesInTurnFault takes a second availability zone out soon after the first
// has returned, so that the leaves of the first must be warm by then.
func zonesInTurnFault(s *sim) {
	s.zoneAway(1, faultAt, awayTime)
	s.zoneAway(2, faultAt+awayTime+betweenZones, awayTime)
}

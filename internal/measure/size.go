package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Size describes one index of a user at its present size: its shards,
// availability zones and query classes.
type Size struct {
	Name   string
	Shards int
	Zones  int
	// InterZoneDelay is the one-way delay between two availability zones.
	InterZoneDelay time.Duration
	// Main is the class to which the latency and coverage targets apply.
	// LowPriority is the user's class of lower priority.
	Main, LowPriority topology.Class
}

const leavesPerShard = 2

// Sizes returns the indexes of both users with 20 and with 30 shards.
func Sizes() []Size {
	valdivia := Size{Zones: 3, InterZoneDelay: 5 * time.Millisecond, Main: quickLookup, LowPriority: courseFinder}
	kelani := Size{Zones: 4, InterZoneDelay: 4 * time.Millisecond, Main: driverLookup, LowPriority: deskReport}
	return []Size{
		valdivia.withShards("valdivia-20", 20), valdivia.withShards("valdivia-30", 30),
		kelani.withShards("kelani-20", 20), kelani.withShards("kelani-30", 30),
	}
}

func (s Size) withShards(name string, shards int) Size {
	s.Name, s.Shards = name, shards
	return s
}

// prefersLatency reports whether the main class prefers latency over coverage,
// as Valdivia's does.
func (s Size) prefersLatency() bool { return s.Main.Prefer == topology.PreferLatency }

// capacity returns the queries per second that the leaves can run while all of
// them are warm.
func (s Size) capacity() float64 {
	return leavesPerShard * leafSlots / typicalRunTime.Seconds()
}

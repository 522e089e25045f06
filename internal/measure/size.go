package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Size is one index of a user at today's size.
type Size struct {
	Name   string
	Shards int
	Zones  int
	// OneWay is the delay between two availability zones.
	InterZoneDelay time.Duration
	// Main and Side are the measured class and the one of lower priority.
	Main, LowPriority topology.Class
}

const leavesPerShard = 2

// Sizes returns the indexes with 20 and 30 shards of both users.
func Sizes() []Size {
	valdivia := Size{Zones: 3, InterZoneDelay: 5 * time.Millisecond, Main: quickLookup, LowPriority: courseFinder}
	kelani := Size{Zones: 4, InterZoneDelay: 4 * time.Millisecond, Main: driverLookup, LowPriority: deskReport}
	return []Size{
		valdivia.sized("valdivia-20", 20), valdivia.sized("valdivia-30", 30),
		kelani.sized("kelani-20", 20), kelani.sized("kelani-30", 30),
	}
}

func (s Size) sized(name string, shards int) Size {
	s.Name, s.Shards = name, shards
	return s
}

// prefersLatency reports whether the size is one of Valdivia's.
func (s Size) prefersLatency() bool { return s.Main.Prefer == topology.PreferLatency }

// capacity is how many queries per second the warm leaves can run.
func (s Size) capacity() float64 {
	return leavesPerShard * leafSlots / typicalRunTime.Seconds()
}

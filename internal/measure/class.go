package measure

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// The classes are those of the stand-in's service documents. Each user has
// a main class and a class of lower priority, which read the same leaves.
var (
	quickLookup = topology.Class{
		ID: "quick-lookup", Priority: 0, Prefer: topology.PreferLatency,
		LatencyTarget: 120 * time.Millisecond, Deadline: 500 * time.Millisecond,
	}
	courseFinder = topology.Class{
		ID: "course-finder", Priority: 1, Prefer: topology.PreferLatency,
		LatencyTarget: 400 * time.Millisecond, Deadline: time.Second,
	}
	driverLookup = topology.Class{
		ID: "driver-lookup", Priority: 0, Prefer: topology.PreferCoverage,
		LatencyTarget: 200 * time.Millisecond, Deadline: time.Second, Canary: topology.CanaryAlways,
	}
	deskReport = topology.Class{
		ID: "desk-report", Priority: 3, Prefer: topology.PreferCoverage,
		LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Canary: topology.CanaryAlways,
	}
)

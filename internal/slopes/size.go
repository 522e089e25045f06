package slopes

// Size describes the size of a deployment.
type Size struct {
	Name   string
	Leaves int
	VMs    int
	Zones  int
	// Shards is the number of shards per index, Replicas the number of leaves per
	// shard.
	Shards   int
	Replicas int
}

// Sizes returns today's size, ten times that size, and the design target.
func Sizes() []Size {
	return []Size{
		{Name: "today", Leaves: 116, VMs: 9, Zones: 3, Shards: 1, Replicas: 2},
		{Name: "10x", Leaves: 1_160, VMs: 90, Zones: 3, Shards: 1, Replicas: 2},
		{Name: "target", Leaves: 110_160, VMs: 2_400, Zones: 9, Shards: 170, Replicas: 4},
	}
}

// LeavesPerZone returns the number of leaves in the largest zone.
func (s Size) LeavesPerZone() int { return (s.Leaves + s.Zones - 1) / s.Zones }

// VMsPerZone returns the number of VMs in the largest zone.
func (s Size) VMsPerZone() int { return (s.VMs + s.Zones - 1) / s.Zones }

package standin

import (
	"fmt"
	"time"
)

// FanOuts lists the numbers of leaves per query. The "fanout" installation has
// one index for each.
var FanOuts = []int{10, 50, 170}

// newFanOut returns an installation in one zone for measuring the cost of a query
// by its number of leaves. The leaves have a short run time, so that they add
// little to the measurement.
func newFanOut(net string, vmsPerZone int) *Fleet {
	f := &Fleet{Net: net, Region: "test", Zones: []string{"test"}}
	f.addVMs(vmsPerZone)
	f.addZones()
	classes := "kind = \"classes\"\n"
	for _, n := range FanOuts {
		name := fmt.Sprintf("fan%d", n)
		f.addIndex(indexConfig{
			Name: name, Team: "operations", Shards: n, LeavesPerShard: 1,
			Slots: 8, Connections: 100, Latency: time.Millisecond,
		})
		classes += fmt.Sprintf("\n[[class]]\nname = %q\nindex = %q\nscope = \"all\"\npriority = 0\nprefer = \"coverage\"\nlatency_target = \"1s\"\ndeadline = \"2s\"\ncanary = \"never\"\n", name, name)
	}
	f.Sections = append(f.Sections, Section{Name: "classes", Team: "operations", Text: classes})
	return f
}

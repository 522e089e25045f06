package standin

import (
	"fmt"
	"time"
)

// FanOuts are the numbers of leaves per query that the "fanout" installation
// has an index for.
var FanOuts = []int{10, 50, 170}

// newFanOut returns an installation in one zone that measures what a query
// costs by its number of leaves. Its leaves answer almost at once.
func newFanOut(net string, vmsPerZone int) *Fleet {
	f := &Fleet{Net: net, Region: "test", Zones: []string{"test"}}
	f.addVMs(vmsPerZone)
	f.addZones()
	classes := "kind = \"classes\"\n"
	for _, n := range FanOuts {
		name := fmt.Sprintf("fan%d", n)
		f.addIndex(IndexSize{
			Name: name, Team: "operations", Shards: n, LeavesPerShard: 1,
			Slots: 8, Connections: 100, Latency: time.Millisecond,
		})
		classes += fmt.Sprintf("\n[[class]]\nname = %q\nindex = %q\nscope = \"all\"\npriority = 0\nprefer = \"coverage\"\nlatency_target = \"1s\"\ndeadline = \"2s\"\ncanary = \"never\"\n", name, name)
	}
	f.Sections = append(f.Sections, Section{Name: "classes", Team: "operations", Text: classes})
	return f
}

package slopes

import (
	"fmt"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Facts returns what a relay says of a warm leaf.
func Facts(leaf topology.LeafID) message.LeafStatus {
	return message.LeafStatus{
		Leaf: leaf, State: "warm", Usable: true, Warm: true,
		IndexVersions: []uint64{1 << 20, 1<<20 + 1}, PartitionGeneration: 3, Boot: 1 << 62,
		Baseline: 12 * time.Millisecond,
	}
}

// LeafRequest returns the request of one search.
func LeafRequest() message.LeafRequest {
	return message.LeafRequest{
		Leaf: "finder-017-042-a", Op: message.OpSearch, RequestID: "vm-00017-3fa4c1d2e5b60798-1234567",
		Class: "finder", Text: "evening pottery workshop near the river",
		StartBy: 80 * time.Millisecond, Deadline: 200 * time.Millisecond,
	}
}

// LeafReply returns the reply to LeafRequest with a number of hits.
func LeafReply(hits int) message.LeafReply {
	out := message.LeafReply{
		Leaf: "finder-017-042-a", Shard: "finder-017-042",
		Snapshot: topology.Snapshot{IndexVersion: 1 << 20, PartitionGeneration: 3}, RunTime: 4 * time.Millisecond,
	}
	for i := range hits {
		out.Hits = append(out.Hits, message.Hit{Key: fmt.Sprintf("course-%07d", i*7919), Score: 1 / float64(i+3)})
	}
	return out
}

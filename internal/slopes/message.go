package slopes

import (
	"fmt"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// WarmLeafStatus returns the status that a relay reports for a warm leaf.
func WarmLeafStatus(leaf topology.LeafID) message.LeafStatus {
	return message.LeafStatus{
		Leaf: leaf, State: "warm", Usable: true, Warm: true,
		IndexVersions: []uint64{1 << 20, 1<<20 + 1}, PartitionGeneration: 3, Boot: 1 << 62,
		Baseline: 12 * time.Millisecond,
	}
}

// LeafRequest returns a search request with names and IDs of typical length.
func LeafRequest() message.LeafRequest {
	return message.LeafRequest{
		Leaf: "finder-017-042-a", Op: message.OpSearch, RequestID: "vm-00017-3fa4c1d2e5b60798-1234567",
		Class: "finder", Text: "evening pottery workshop near the river",
		StartBy: 80 * time.Millisecond, Deadline: 200 * time.Millisecond,
	}
}

// LeafReply returns a reply to LeafRequest with the given number of hits.
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

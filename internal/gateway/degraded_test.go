package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/degraded"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Guards against a shard without a leaf that no metric and no log line shows.
func TestShardWithoutLeafIsDegraded(t *testing.T) {
	n := New(Config{VM: "vm-1"}, nil, nil)
	conf := &fleet.Configuration{Version: 1, Routes: []*fleet.Route{
		{Name: "query", Host: "h", Prefix: "/q/", Shards: []fleet.ServiceName{"s1", "s2"}, Timeout: time.Second},
		{Name: "split", Host: "h", Prefix: "/o/", Split: []fleet.Share{{Service: "s1", Weight: 1}, {Service: "s3", Weight: 1}}},
	}}
	conf.Index()
	n.table.SetConfiguration(conf)
	n.table.SetLeaves(0, map[fleet.LeafID]fleet.Leaf{"l1": {ID: "l1", Service: "s1", Zone: "z"}})
	states := func() []degraded.State {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.degradedStates()
	}
	assert.Equal(t, len(states()), 0, "nothing is known before the first listing")
	n.activeConfiguration.Store(conf)
	n.leavesListed.Store(true)
	assert.DeepEqual(t, states(), []degraded.State{{Kind: degradedShard, Subject: "s2"}, {Kind: degradedShard, Subject: "s3"}})
	n.partitioned.Store(true)
	assert.Equal(t, len(states()), 3)
}

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/message"
)

// Guards against an aggregator that runs a query under another version of the
// configuration than the delegating VM uses, so that the delegating VM could handle
// its next query by an older version than this query, and against an aggregator that
// accepts a query that it cannot answer.
func TestQueriesThatAreDeclined(t *testing.T) {
	for name, row := range map[string]struct {
		change   func(n *Node, q *message.Query)
		accepted bool
	}{
		"same version":                 {func(*Node, *message.Query) {}, true},
		"aggregator has older version": {func(_ *Node, q *message.Query) { q.Version = 8 }, false},
		"aggregator has newer version": {func(_ *Node, q *message.Query) { q.Version = 6 }, false},
		"no configuration":             {func(n *Node, _ *message.Query) { n.activeConfiguration.Store(nil) }, false},
		"no leaves":                    {func(n *Node, _ *message.Query) { n.leavesListed.Store(false) }, false},
		"stopping":                     {func(n *Node, _ *message.Query) { n.drain.Begin() }, false},
		"partitioned":                  {func(n *Node, _ *message.Query) { n.partitioned.Store(true) }, false},
		"route without fan-out":        {func(_ *Node, q *message.Query) { q.Path = "/one/x" }, false},
		"no route":                     {func(_ *Node, q *message.Query) { q.Path = "/none/x" }, false},
		"partition check only":         {func(_ *Node, q *message.Query) { q.Path = "" }, false},
		"last aggregator partitioned":  {func(n *Node, _ *message.Query) { n.aggregatorPartitioned.Store(true) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{VM: "vm-1"}, nil, nil)
			conf := &fleet.Configuration{Version: 7, Routes: []*fleet.Route{
				{Name: "query", Host: "h", Prefix: "/query/", Shards: []fleet.ServiceName{"s1"}, Timeout: time.Second},
				{Name: "one", Host: "h", Prefix: "/one/", Service: "single"},
			}}
			conf.Index()
			n.activeConfiguration.Store(conf)
			n.leavesListed.Store(true)
			q := message.Query{Version: 7, Host: "h", Path: "/query/x"}
			row.change(n, &q)
			c, reason := n.acceptQuery(&q)
			assert.Equal(t, c != nil, row.accepted, reason)
		})
	}
}

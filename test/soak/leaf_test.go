package soak

import (
	"fmt"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// leaf is a stand-in of a leaf behind a forwarder.
type leaf struct {
	*standin.Leaf
	path *harness.Forwarder
	// leaving is held while the leaf's entry says that it leaves.
	leaving sync.Mutex
}

func (w *world) addLeaf(service, zone string, body []byte) *leaf {
	id := fmt.Sprintf("%s-%s-%d", service, zone, len(w.leaves))
	l := &leaf{Leaf: standin.NewLeaf(id, service, zone, standin.Behaviour{Body: body, Delay: 5 * time.Millisecond})}
	path, err := harness.NewForwarder("127.0.0.1:0", l.Entry()["addr"].(string))
	assert.NilError(w.t, err)
	l.path = path
	w.leaves = append(w.leaves, l)
	w.register(l, "ready")
	return l
}

func (w *world) register(l *leaf, state string) {
	entry := l.Entry()
	entry["addr"], entry["state"] = l.path.Address(), state
	w.store.Put("servers", l.ID, entry)
}

// body is what the leaf answers with.
func (l *leaf) body() []byte {
	var shard int
	if _, err := fmt.Sscanf(l.Service, "s%d", &shard); err == nil && l.Service != "single" {
		return []byte(record('a', shard) + record('A', shard))
	}
	if _, err := fmt.Sscanf(l.Service, "t%d", &shard); err == nil {
		return []byte(record('g', shard) + record('G', shard))
	}
	return []byte("single")
}

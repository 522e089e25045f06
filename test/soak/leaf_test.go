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
	// leaving is locked while the leaf is registered as draining.
	leaving sync.Mutex
	// born is the start time that the leaf states, if it is not the stand-in's.
	born int64
	// state is the state in which the leaf has registered itself last, or stateRemoved.
	state string
}

// stateRemoved is the state of a leaf that has removed its entry.
const stateRemoved = "removed"

func (s *system) addLeaf(service, zone string, body []byte) *leaf {
	id := fmt.Sprintf("%s-%s-%d", service, zone, len(s.leaves))
	l := &leaf{Leaf: standin.NewLeaf(id, service, zone, standin.Behaviour{Body: body, Delay: 5 * time.Millisecond})}
	path, err := harness.NewForwarder("127.0.0.1:0", l.Entry()["addr"].(string))
	assert.NilError(s.t, err)
	l.path = path
	s.leaves = append(s.leaves, l)
	s.register(l, "ready")
	return l
}

func (s *system) register(l *leaf, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.state = state
	s.writeEntry(l)
}

// rewrite writes what the operator and the leaves have written, after the store was
// restored.
func (s *system) rewrite() {
	s.operator.Lock()
	s.configure(s.newestVersion())
	s.operator.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leaves {
		s.writeEntry(l)
	}
}

// writeEntry writes or removes the entry of a leaf. The caller holds mu.
func (s *system) writeEntry(l *leaf) {
	if l.state == stateRemoved {
		s.store.Delete("servers", l.ID)
		return
	}
	entry := l.Entry()
	entry["addr"], entry["state"] = l.path.Address(), l.state
	if l.born != 0 {
		entry["born"] = l.born
	}
	s.store.Put("servers", l.ID, entry)
}

// restart registers a leaf as another process.
func (s *system) restart(l *leaf) {
	l.leaving.Lock()
	defer l.leaving.Unlock()
	l.born = time.Now().UnixMilli()
	s.register(l, "ready")
}

// body returns the body of the leaf's normal replies.
func (l *leaf) body() []byte {
	var shard int
	if _, err := fmt.Sscanf(l.Service, "s%d", &shard); err == nil && l.Service != "single" {
		return []byte(recordText('a', shard) + recordText('A', shard))
	}
	if _, err := fmt.Sscanf(l.Service, "t%d", &shard); err == nil {
		return []byte(recordText('g', shard) + recordText('G', shard))
	}
	return []byte("single")
}

package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/platform/standin"
)

const (
	shards = 6
	// topK is the number of records of an answer.
	topK = 4
	// leastShare of the shards must be in an answer.
	leastShare = 0.6
	grace      = 4 * time.Second
	host       = "h.example"
)

// world is one system with its callers' view of the platform.
type world struct {
	t       *testing.T
	dir     string
	program string
	store   *standin.Store
	leaves  []*leaf
	nodes   []*node
	history *history
	// closing is closed at the end, when processes are not started again.
	closing chan struct{}

	mu sync.Mutex
	// version is the newest configuration; set tells which shards it names.
	version int
}

func newWorld(t *testing.T, program string) *world {
	w := &world{t: t, dir: t.TempDir(), program: program, store: standin.NewStore(), history: newHistory(), closing: make(chan struct{})}
	t.Cleanup(w.close)
	w.configure(0)
	for _, zone := range []string{"a", "b"} {
		for i := range shards {
			w.addLeaf(fmt.Sprintf("s%d", i), zone, []byte(record('a', i)+record('A', i)))
			w.addLeaf(fmt.Sprintf("t%d", i), zone, []byte(record('g', i)+record('G', i)))
		}
		w.addLeaf("single", zone, []byte("single"))
		w.addLeaf("single", zone, []byte("single"))
	}
	for _, zone := range []string{"a", "b"} {
		w.addNode(zone+"-big", zone, 1)
		w.addNode(zone+"-small", zone, 0.2)
	}
	for _, n := range w.nodes {
		go n.supervise()
	}
	return w
}

// record is a record of 16 bytes that only one shard has.
func record(first byte, shard int) string { return strings.Repeat(string(rune(first+byte(shard))), 16) }

func (w *world) close() {
	close(w.closing)
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
		<-n.ended
		n.store.Close()
		n.seed.Close()
	}
	for _, l := range w.leaves {
		l.path.Close()
		l.Close()
	}
	w.store.Close()
}

// set is the prefix of the shards that a version names.
func set(version int) string { return [...]string{"s", "t"}[version%2] }

// configure writes the next version. Its queries go to the other set of shards,
// and it has one more route, /new-VERSION/.
func (w *world) configure(version int) {
	gather := []string{}
	services := []map[string]any{{"name": "single", "health_path": "/healthz", "max_conns": 26, "warmup_s": 3.0, "warmup_per_s": 0.0}}
	for i := range shards {
		gather = append(gather, fmt.Sprintf("%s%d", set(version), i))
		for _, prefix := range []string{"s", "t"} {
			services = append(services, map[string]any{
				"name": fmt.Sprintf("%s%d", prefix, i), "health_path": "/healthz", "max_conns": 26, "warmup_s": 3.0, "warmup_per_s": 0.0,
			})
		}
	}
	routes := []map[string]any{
		{
			"name": "query", "host": host, "path_prefix": "/query/", "kind": "idempotent", "timeout_ms": 1000,
			"target_latency_ms": 120, "priority": 1, "gather": gather, "attempts": 2, "top_k": topK, "min_coverage": leastShare,
		},
		single("one", "/one/", "idempotent"), single("order", "/order/", "non_idempotent"),
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, single(fmt.Sprintf("new-%d", v), fmt.Sprintf("/new-%d/", v), "idempotent"))
	}
	w.store.Put("config", "main", map[string]any{
		"version": version + 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

func single(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1000,
		"target_latency_ms": 400, "priority": 2, "service": "single", "attempts": 2,
	}
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) addNode(name, zone string, cores float64) {
	n := &node{world: w, name: name, zone: zone, cores: cores, ended: make(chan struct{}),
		callers: freeAddress(w.t), ready: freeAddress(w.t), admin: freeAddress(w.t), peers: freeAddress(w.t)}
	var err error
	n.store, err = harness.NewForwarder("127.0.0.1:0", w.store.Addr())
	assert.NilError(w.t, err)
	n.seed, err = harness.NewForwarder("127.0.0.1:0", n.peers)
	assert.NilError(w.t, err)
	w.nodes = append(w.nodes, n)
}

// waitReady waits until all nodes are ready.
func (w *world) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", n.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// logs reports lines that no process may write.
func (w *world) logs() error {
	for _, n := range w.nodes {
		text, err := os.ReadFile(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			return err
		}
		for _, bad := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if i := strings.Index(string(text), bad); i >= 0 {
				return fmt.Errorf("%s logged %q: %.500s", n.name, bad, text[i:])
			}
		}
	}
	return nil
}

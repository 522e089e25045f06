package callers

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// defaultShards is the number of shards of the route of many leaves, as on a small deployment;
// largeShards is about half of that on a large one.
const (
	defaultShards = 20
	largeShards   = 100
)

// service is the stand-ins of the store and the leaves.
type service struct {
	store *standin.Store
	// held are the leaves whose replies hold holds back.
	held []*standin.Leaf
}

// startService starts a route of one leaf for ordinary requests, and for the crowd a route of
// one leaf and one of many shards.
func startService(t *testing.T, shards int) *service {
	s := &service{store: standin.NewStore()}
	t.Cleanup(s.store.Close)
	s.startLeaf(t, "single", nil)
	s.held = append(s.held, s.startLeaf(t, "orders", nil))
	s.startLeaf(t, "long", []byte(strings.Repeat("a", unreadAnswerBytes)))
	record := []byte(strings.Repeat("r", 16))
	var names []string
	services := []map[string]any{serviceEntry("single"), serviceEntry("orders"), serviceEntry("long")}
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		names = append(names, name)
		services = append(services, serviceEntry(name))
		s.held = append(s.held, s.startLeaf(t, name, record))
	}
	s.store.Put("config", "main", map[string]any{
		"version": 1, "services": services,
		"routes": []map[string]any{
			routeEntry("one", "idempotent", map[string]any{"service": "single"}),
			routeEntry("order", "non_idempotent", map[string]any{"service": "orders"}),
			routeEntry("patient", "non_idempotent", map[string]any{"service": "orders", "timeout_ms": patientTimeLimitMs}),
			routeEntry("long", "idempotent", map[string]any{"service": "long"}),
			routeEntry("wide", "idempotent", map[string]any{"gather": names, "top_k": 5, "min_coverage": 0.8}),
		},
		"limits": map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return s
}

func routeEntry(name, kind string, more map[string]any) map[string]any {
	entry := map[string]any{
		"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeLimitMs,
		"target_latency_ms": 400, "priority": 1, "attempts": 2,
	}
	maps.Copy(entry, more)
	return entry
}

func serviceEntry(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 175, "warmup_s": 3.0, "warmup_per_s": 0.0}
}

func (s *service) startLeaf(t *testing.T, service string, body []byte) *standin.Leaf {
	l := standin.NewLeaf("leaf-of-"+service, service, "z", standin.Behaviour{Body: body})
	t.Cleanup(l.Close)
	s.store.Put("servers", l.ID, l.Entry())
	return l
}

// hold lets the leaves of the crowd hold back their replies until the returned function is called.
func (s *service) hold() (release func()) {
	held := make(chan struct{})
	for _, l := range s.held {
		l.SetBehaviour(standin.Behaviour{Hold: held})
	}
	return func() { close(held) }
}

package standin

import (
	"time"

	"github.com/pkg/errors"
)

// Run times of a request in a warm leaf.
const (
	searchRunTime = 12 * time.Millisecond
	lookupRunTime = 4 * time.Millisecond
)

// NewFleet returns the installation of a user, "valdivia" or "kelani", with
// the sizes in the design document. "fanout" is an installation for the
// measurement of costs.
func NewFleet(user, net string, vmsPerZone int) (*Fleet, error) {
	switch user {
	case "valdivia":
		return newValdivia(net, vmsPerZone), nil
	case "kelani":
		return newKelani(net, vmsPerZone), nil
	case "fanout":
		return newFanOut(net, vmsPerZone), nil
	}
	return nil, errors.Errorf("unknown user %q, want valdivia, kelani or fanout", user)
}

func newValdivia(net string, vmsPerZone int) *Fleet {
	f := &Fleet{Net: net, Region: "south", Zones: []string{"valdivia", "osorno", "puerto-montt"}}
	f.addVMs(vmsPerZone)
	f.addZones()
	f.addOwners(map[string]string{
		"owners": "operations", "zones": "operations", "classes": "operations",
		"index.enrolment": "courses", "index.inventory": "workshop",
		"index.roster": "courses", "index.billing": "office",
	}, []string{"owners", "zones", "classes", "index.enrolment", "index.inventory", "index.roster", "index.billing"})
	f.addIndex(indexConfig{Name: "enrolment", Team: "courses", Shards: 20, LeavesPerShard: 2, Slots: 2, Connections: 25, Latency: searchRunTime})
	f.addIndex(indexConfig{Name: "inventory", Team: "workshop", Shards: 30, LeavesPerShard: 2, Slots: 2, Connections: 25, Latency: searchRunTime})
	f.addIndex(indexConfig{Name: "roster", Team: "courses", Shards: 1, LeavesPerShard: 10, Slots: 2, Connections: 110, Latency: lookupRunTime})
	f.addIndex(indexConfig{Name: "billing", Team: "office", Shards: 1, LeavesPerShard: 5, Slots: 2, Connections: 110, Latency: lookupRunTime})
	f.Sections = append(f.Sections, Section{Name: "classes", Team: "operations", Text: valdiviaClasses})
	return f
}

func newKelani(net string, vmsPerZone int) *Fleet {
	f := &Fleet{Net: net, Region: "western", Zones: []string{"colombo", "negombo", "kalutara", "gampaha"}}
	f.addVMs(vmsPerZone)
	f.addZones()
	f.addOwners(map[string]string{
		"owners": "operations", "zones": "operations", "classes": "operations",
		"index.search": "drivers", "index.ledger": "stock",
		"index.portal": "shops", "index.reports": "desk",
	}, []string{"owners", "zones", "classes", "index.search", "index.ledger", "index.portal", "index.reports"})
	f.addIndex(indexConfig{Name: "search", Team: "drivers", Shards: 20, LeavesPerShard: 2, Slots: 2, Connections: 25, Latency: searchRunTime})
	f.addIndex(indexConfig{Name: "ledger", Team: "stock", Shards: 30, LeavesPerShard: 2, Slots: 2, Connections: 25, Latency: searchRunTime})
	f.addIndex(indexConfig{Name: "portal", Team: "shops", Shards: 1, LeavesPerShard: 10, Slots: 2, Connections: 35, Latency: lookupRunTime})
	f.addIndex(indexConfig{Name: "reports", Team: "desk", Shards: 1, LeavesPerShard: 5, Slots: 2, Connections: 35, Latency: lookupRunTime})
	f.Sections = append(f.Sections, Section{Name: "classes", Team: "operations", Text: kelaniClasses})
	return f
}

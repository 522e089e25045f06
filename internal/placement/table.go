package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/leafspeed"
)

// Config is what a table needs to know of its VM.
type Config struct {
	// ColdFactor and ColdSlack bound the requests per second of a cold leaf to
	// ColdFactor times the rate that its service states, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// Table holds the leaves of all services. It is not safe for concurrent use.
type Table struct {
	config    Config
	leaves    map[fleet.LeafID]*leaf
	services  map[fleet.ServiceName][]*leaf
	settings  map[fleet.ServiceName]fleet.Service
	evacuated map[fleet.Zone]bool
	members   int
	expected  expectedTimes
	zones     map[fleet.Zone]*zoneState
	// turn rotates leaves of equal cost.
	turn int
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config: config, leaves: make(map[fleet.LeafID]*leaf),
		services: make(map[fleet.ServiceName][]*leaf), expected: make(expectedTimes),
		zones: make(map[fleet.Zone]*zoneState),
	}
}

// SetConfiguration takes in the services of a configuration.
func (t *Table) SetConfiguration(c *fleet.Configuration) {
	t.settings = c.Services
	t.expected.retain(c)
	t.share()
}

// SetConfig changes the bound of cold leaves.
func (t *Table) SetConfig(config Config) {
	t.config = config
	t.share()
}

// SetEvacuated takes in the zones whose leaves get no requests.
func (t *Table) SetEvacuated(zones map[fleet.Zone]bool) {
	t.evacuated = make(map[fleet.Zone]bool, len(zones))
	for zone := range zones {
		t.evacuated[zone] = true
	}
}

// SetMembers takes in how many VMs share the leaves; 0 means unknown.
// It reports whether the shares changed.
func (t *Table) SetMembers(n int) bool {
	if n == t.members {
		return false
	}
	t.members = n
	t.share()
	return true
}

// SetLeaves replaces the leaves. What is known of a leaf is kept while it is the
// same run at the same address.
func (t *Table) SetLeaves(now time.Duration, leaves map[fleet.LeafID]fleet.Leaf) {
	next := make(map[fleet.LeafID]*leaf, len(leaves))
	clear(t.services)
	for id, f := range leaves {
		l := t.leaves[id]
		if l == nil || l.Started != f.Started || l.Address != f.Address || l.Service != f.Service {
			l = newLeaf(f, now)
		} else if l.Leaf != f {
			l.Leaf = f
			l.stayCold(now, f.ColdFor)
		}
		next[id] = l
		t.services[f.Service] = append(t.services[f.Service], l)
	}
	t.leaves = next
	for _, group := range t.services {
		slices.SortFunc(group, func(a, b *leaf) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.share()
}

// share divides the connections and the cold rate of each leaf among the VMs.
func (t *Table) share() {
	for _, l := range t.leaves {
		service := t.settings[l.Service]
		l.connections = t.connectionShare(service)
		l.cold.limit = t.coldLimit(service)
	}
}

func (t *Table) connectionShare(s fleet.Service) int {
	if t.members == 0 {
		return minConnections
	}
	n := int(connectionReserve * float64(s.MaxConnections) / float64(t.members+spareMembers))
	return min(max(n, minConnections), maxConnections)
}

// coldLimit is this VM's part of the bound of a cold leaf, or -1 without one.
func (t *Table) coldLimit(s fleet.Service) int {
	if s.WarmUpRate <= 0 {
		return -1
	}
	if t.members == 0 {
		return 0
	}
	bound := s.WarmUpRate*t.config.ColdFactor + t.config.ColdSlack
	return int(bound) / (t.members + spareMembers)
}

// Choices returns the leaves of a service that may get a request now, the best
// first.
func (t *Table) Choices(now time.Duration, service fleet.ServiceName, route string) []Choice {
	type candidate struct {
		leaf  *leaf
		cost  time.Duration
		sound bool
	}
	group := t.services[service]
	candidates := make([]candidate, 0, len(group))
	t.turn++
	for i := range group {
		l := group[(i+t.turn)%len(group)]
		if !t.usable(now, l) {
			continue
		}
		candidates = append(candidates, candidate{l, t.cost(now, l, route), t.sound(now, l, route)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.sound != b.sound {
			if a.sound {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	out := make([]Choice, len(candidates))
	for i, c := range candidates {
		out[i] = Choice{ID: c.leaf.ID, Address: c.leaf.Address, Zone: c.leaf.Zone, Healthy: c.sound}
	}
	return out
}

// Usable reports whether a leaf may get a request now.
func (t *Table) Usable(now time.Duration, id fleet.LeafID) bool {
	l := t.leaves[id]
	return l != nil && t.usable(now, l)
}

func (t *Table) usable(now time.Duration, l *leaf) bool {
	switch {
	case l.Leaving || l.replaced || t.evacuated[l.Zone]:
		return false
	case !t.zone(l.Zone).mayTry(now):
		return false
	case now < l.retryAt || l.unusable > 0 && len(l.started) > 0:
		return false
	case l.isCold(now) && l.cold.limit >= 0:
		return l.cold.room(now)
	}
	return true
}

func (t *Table) sound(now time.Duration, l *leaf, route string) bool {
	return !t.zone(l.Zone).down && !t.suspect(now, l, route) && l.failuresNow(now) < failingAbove && l.unusable == 0 && now >= l.silentUntil
}

func (t *Table) suspect(now time.Duration, l *leaf, route string) bool {
	return l.age(now) > t.suspectAge(l, route)
}

// suspectAge is the time after which a reply is overdue.
func (t *Table) suspectAge(l *leaf, route string) time.Duration {
	return max(suspectFactor*t.expected.of(route, l.Zone), minSuspectAge)
}

// cost is the time in which a request is expected to be answered.
func (t *Table) cost(now time.Duration, l *leaf, route string) time.Duration {
	each := float64(t.expected.of(route, l.Zone)) * l.slownessNow(now)
	if l.isCold(now) {
		each *= coldFactor
	}
	cost := each
	if waiting := l.queued(now) + 1 - l.Slots; waiting > 0 {
		cost += each * float64(waiting) / float64(l.Slots)
	}
	if waiting := len(l.started) + 1 - l.connections; waiting > 0 {
		cost += each * float64(waiting) / float64(l.connections)
	}
	cost += l.failuresNow(now) * float64(failureCost)
	if t.suspect(now, l, route) {
		cost += float64(suspectCost)
	}
	if now >= l.connectedUntil || len(l.started) > 0 {
		cost += float64(connectCost)
	}
	return time.Duration(cost)
}

// Begin counts a request that is sent to a leaf.
func (t *Table) Begin(now time.Duration, id fleet.LeafID) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	l.begin(now)
	if z := t.zone(l.Zone); z.down {
		z.trialAt = now + zoneTrialEvery
	}
	if l.isCold(now) {
		l.cold.take(now)
	}
}

// End counts the end of a request that began at a time.
func (t *Table) End(now time.Duration, id fleet.LeafID, route string, began time.Duration, outcome Outcome) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	l.end(began)
	took := now - began
	expected := t.expected.of(route, l.Zone)
	t.noteZone(now, l, route, took, outcome)
	switch outcome {
	case Replied:
		l.unusable, l.unanswered = 0, 0
		l.fail(now, 0)
		l.observe(now, float64(took)/float64(expected))
		t.expected.observe(route, l.Zone, took)
	case Failed:
		l.fail(now, 1)
	case TimedOut, Abandoned:
		t.unanswered(now, l, route, took)
		if ratio := float64(took) / float64(expected); ratio > l.slownessNow(now) {
			l.observe(now, ratio)
		}
	case Unreachable:
		l.unusable++
		pause := retryMin << min(l.unusable-1, 8)
		l.retryAt = now + min(pause, retryMax)
	case Replaced:
		l.replaced = true
	case Refused:
		// Its queue is full, or it sheds load for another reason.
		l.unanswered = 0
		l.fail(now, 1)
	case NotSent:
	}
}

// noteZone takes in what a request says of the way to its leaf's zone.
func (t *Table) noteZone(now time.Duration, l *leaf, route string, took time.Duration, outcome Outcome) {
	switch outcome {
	case Replied, Refused, Replaced:
		t.zoneReplied(now, l.Zone)
	case Unreachable:
		t.zone(l.Zone).failed(now)
	case TimedOut, Abandoned:
		if took >= t.suspectAge(l, route) {
			t.zone(l.Zone).failed(now)
		}
	case Failed, NotSent:
	}
}

// unanswered counts a request that ended without a reply after the time in which
// one was due. Two in a row make the leaf silent for a while.
func (t *Table) unanswered(now time.Duration, l *leaf, route string, took time.Duration) {
	if took < t.suspectAge(l, route) {
		return
	}
	l.unanswered++
	if l.unanswered >= silentAfter {
		pause := retryMin << min(l.unanswered-silentAfter, 8)
		l.silentUntil = now + min(pause, retryMax)
	}
}

// SetConnectedUntil takes in until when an idle connection to a leaf is kept.
func (t *Table) SetConnectedUntil(id fleet.LeafID, until time.Duration) {
	if l := t.leaves[id]; l != nil {
		l.connectedUntil = until
	}
}

// SlowLeaves returns the leaves that this VM itself found to be slow lately.
func (t *Table) SlowLeaves(now time.Duration) []leafspeed.Finding {
	var out []leafspeed.Finding
	for id, l := range t.leaves {
		own := l.ownSlowness(now)
		if l.slownessAt > 0 && own >= slowFrom && now-l.slownessAt < memory {
			out = append(out, leafspeed.Finding{Leaf: id, Slowness: float32(own), Age: now - l.slownessAt})
		}
	}
	return out
}

// ApplyFindings takes in what other VMs found.
func (t *Table) ApplyFindings(now time.Duration, findings []leafspeed.Finding) {
	for _, f := range findings {
		l := t.leaves[f.Leaf]
		if l == nil {
			continue
		}
		if at := now - f.Age; at > l.heardAt {
			l.heard, l.heardAt = min(float64(f.Slowness), maxSlowness), at
		}
	}
}

// ConnectionLimit is how many requests this VM may run at a leaf at a time.
func (t *Table) ConnectionLimit(id fleet.LeafID) int {
	if l := t.leaves[id]; l != nil {
		return l.connections
	}
	return minConnections
}

// RecordStatus takes in what a reply of a leaf says of it.
func (t *Table) RecordStatus(now time.Duration, id fleet.LeafID, load Load, hasLoad bool, coldFor time.Duration) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	if hasLoad {
		l.load, l.loadAt, l.hasLoad = load, now, true
	}
	l.stayCold(now, coldFor)
}

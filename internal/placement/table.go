package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Config holds the settings of a table.
type Config struct {
	// ColdFactor and ColdSlack limit the requests per second to a cold leaf to
	// ColdFactor times the warm-up rate of its service, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// Table holds the leaves of all services. It is not safe for concurrent use.
type Table struct {
	config          Config
	leaves          map[fleet.LeafID]*leaf
	leavesByService map[fleet.ServiceName][]*leaf
	services        map[fleet.ServiceName]fleet.Service
	evacuated       map[fleet.Zone]bool
	members         int
	sharers         Sharers
	// fansOut holds the services that are shards of a route.
	fansOut  map[fleet.ServiceName]bool
	expected expectedTimes
	zones    map[fleet.Zone]*zoneState
	// departed holds leaves whose entries are missing.
	departed departedLeaves
	// rotation changes with each call, so that leaves of equal cost alternate.
	rotation int
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{
		config: config, leaves: make(map[fleet.LeafID]*leaf),
		leavesByService: make(map[fleet.ServiceName][]*leaf), expected: make(expectedTimes),
		zones: make(map[fleet.Zone]*zoneState), departed: make(departedLeaves),
	}
}

// SetConfiguration applies the services and routes of a configuration.
func (t *Table) SetConfiguration(c *fleet.Configuration) {
	t.services = c.Services
	t.fansOut = make(map[fleet.ServiceName]bool)
	for _, r := range c.Routes {
		for _, shard := range r.Shards {
			t.fansOut[shard] = true
		}
	}
	t.expected.retain(c)
	t.updateShares()
}

// SetConfig changes the rate limit of cold leaves.
func (t *Table) SetConfig(config Config) {
	t.config = config
	t.updateShares()
}

// SetEvacuated sets the zones whose leaves get no requests.
func (t *Table) SetEvacuated(zones map[fleet.Zone]bool) {
	t.evacuated = make(map[fleet.Zone]bool, len(zones))
	for zone := range zones {
		t.evacuated[zone] = true
	}
}

// SetMembers sets how many VMs share the leaves; 0 means unknown. It reports
// whether the number changed.
func (t *Table) SetMembers(n int) bool {
	if n == t.members {
		return false
	}
	t.members = n
	t.updateShares()
	return true
}

// SetLeaves replaces the leaves. The state of a leaf is kept if its service,
// address and start time are unchanged.
func (t *Table) SetLeaves(now time.Duration, leaves map[fleet.LeafID]fleet.Leaf) {
	next := make(map[fleet.LeafID]*leaf, len(leaves))
	clear(t.leavesByService)
	t.departed.keep(now, t.leaves, leaves)
	for id, f := range leaves {
		l := t.leaves[id]
		if l == nil {
			l = t.departed.take(now, f)
		}
		if l == nil || l.Started != f.Started || l.Address != f.Address || l.Service != f.Service {
			l = newLeaf(f, now)
		} else if l.Leaf != f {
			l.Leaf = f
			l.extendCold(now, f.ColdFor)
		}
		next[id] = l
		t.leavesByService[f.Service] = append(t.leavesByService[f.Service], l)
	}
	t.leaves = next
	for _, group := range t.leavesByService {
		slices.SortFunc(group, func(a, b *leaf) int { return cmp.Compare(a.ID, b.ID) })
	}
	t.updateShares()
}

// Choices returns the leaves of a service that may get a request now: healthy ones
// before others, each group sorted by expected time.
func (t *Table) Choices(now time.Duration, service fleet.ServiceName, route string) []Choice {
	type candidate struct {
		leaf    *leaf
		cost    time.Duration
		healthy bool
	}
	group := t.leavesByService[service]
	candidates := make([]candidate, 0, len(group))
	t.rotation++
	for i := range group {
		l := group[(i+t.rotation)%len(group)]
		if !t.usable(now, l) {
			continue
		}
		candidates = append(candidates, candidate{l, t.cost(now, l, route), t.healthy(now, l, route)})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.healthy != b.healthy {
			if a.healthy {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	out := make([]Choice, len(candidates))
	for i, c := range candidates {
		out[i] = Choice{ID: c.leaf.ID, Address: c.leaf.Address, Zone: c.leaf.Zone, Healthy: c.healthy}
	}
	return out
}

// Usable reports whether a leaf may get a request now.
func (t *Table) Usable(now time.Duration, id fleet.LeafID) bool {
	l := t.leaves[id]
	return l != nil && t.usable(now, l)
}

func (t *Table) usable(now time.Duration, l *leaf) bool {
	return t.usableButForStatements(now, l) && t.withinStatements(now, l)
}

// usableButForStatements reports whether a leaf may get a request now as far as this VM
// knows without what the leaf states of itself.
func (t *Table) usableButForStatements(now time.Duration, l *leaf) bool {
	switch {
	case l.Leaving || l.replaced || t.evacuated[l.Zone]:
		return false
	case !t.zone(l.Zone).acceptsRequests(now):
		return false
	case now < l.retryAt || l.connectFailures > 0 && len(l.started) > 0:
		return false
	case l.isCold(now) && l.cold.limit >= 0:
		return l.cold.allows(now)
	}
	return true
}

func (t *Table) healthy(now time.Duration, l *leaf, route string) bool {
	return !t.zone(l.Zone).unreachable && !t.suspect(now, l, route) && l.currentFailureRate(now) < failureThreshold && l.connectFailures == 0 && now >= l.unresponsiveUntil
}

// suspect reports whether the oldest request at a leaf is overdue.
func (t *Table) suspect(now time.Duration, l *leaf, route string) bool {
	return l.oldestAge(now) > t.suspectAge(l, route)
}

// suspectAge returns the age from which a request is overdue.
func (t *Table) suspectAge(l *leaf, route string) time.Duration {
	return max(suspectFactor*t.expected.of(route, l.Zone), minSuspectAge)
}

// cost returns the time until a reply is expected, plus penalties for failures,
// overdue requests and a new connection.
func (t *Table) cost(now time.Duration, l *leaf, route string) time.Duration {
	each := float64(t.expected.of(route, l.Zone)) * l.currentSlowness(now)
	if l.isCold(now) {
		each *= coldSlowness
	}
	cost := each
	if waiting := l.queued(now) + 1 - l.Slots; waiting > 0 {
		cost += each * float64(waiting) / float64(l.Slots)
	}
	if waiting := len(l.started) + 1 - l.connections; waiting > 0 {
		cost += each * float64(waiting) / float64(l.connections)
	}
	cost += l.currentFailureRate(now) * float64(failureCost)
	if t.suspect(now, l, route) {
		cost += float64(suspectCost)
	}
	if now >= l.connectedUntil || len(l.started) > 0 {
		cost += float64(connectCost)
	}
	return time.Duration(cost)
}

// Begin records a request that is sent to a leaf.
func (t *Table) Begin(now time.Duration, id fleet.LeafID) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	l.begin(now)
	if z := t.zone(l.Zone); z.unreachable {
		z.probeAt = now + zoneProbeInterval
	}
	if l.isCold(now) {
		l.cold.record(now)
	}
	if l.limited() {
		l.limiter.record(now)
	}
}

// End records the outcome of a request that was started at a given time.
func (t *Table) End(now time.Duration, id fleet.LeafID, route string, startedAt time.Duration, outcome Outcome) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	l.end(startedAt)
	took := now - startedAt
	expected := t.expected.of(route, l.Zone)
	t.recordZoneOutcome(now, l, route, took, outcome)
	switch outcome {
	case Replied:
		l.connectFailures, l.unanswered = 0, 0
		l.endResuming(startedAt)
		l.recordResult(now, 0)
		l.observeSlowness(now, float64(took)/float64(expected))
		t.expected.observe(route, l.Zone, took)
	case Failed:
		l.recordResult(now, 1)
	case TimedOut, Abandoned:
		t.recordUnanswered(now, l, route, took)
		if ratio := float64(took) / float64(expected); ratio > l.currentSlowness(now) {
			l.observeSlowness(now, ratio)
		}
	case Unreachable:
		l.connectFailures++
		pause := retryMin << min(l.connectFailures-1, 8)
		l.retryAt = now + min(pause, retryMax)
	case Replaced:
		l.replaced = true
	case Refused:
		// The queue of the leaf is full, or it sheds load for another reason.
		l.unanswered = 0
		l.recordResult(now, 1)
	case NotSent:
	}
}

// recordZoneOutcome updates the reachability of the leaf's zone.
func (t *Table) recordZoneOutcome(now time.Duration, l *leaf, route string, took time.Duration, outcome Outcome) {
	switch outcome {
	case Replied, Refused, Replaced:
		t.recordZoneReply(now, l.Zone)
	case Unreachable:
		t.zone(l.Zone).recordFailure(now)
	case TimedOut, Abandoned:
		if took >= t.suspectAge(l, route) {
			t.zone(l.Zone).recordFailure(now)
		}
	case Failed, NotSent:
	}
}

// recordUnanswered counts a request that was overdue and got no reply. After
// unresponsiveAfter such requests in a row the leaf counts as unresponsive, and is
// not healthy until a backoff has passed.
func (t *Table) recordUnanswered(now time.Duration, l *leaf, route string, took time.Duration) {
	if took < t.suspectAge(l, route) {
		return
	}
	l.unanswered++
	if l.unanswered >= unresponsiveAfter {
		pause := retryMin << min(l.unanswered-unresponsiveAfter, 8)
		l.unresponsiveUntil = now + min(pause, retryMax)
	}
}

// SetConnectedUntil sets when an idle connection to a leaf will be closed.
func (t *Table) SetConnectedUntil(id fleet.LeafID, until time.Duration) {
	if l := t.leaves[id]; l != nil {
		l.connectedUntil = until
	}
}

// ConnectionLimit returns how many requests this VM may have in flight at a leaf.
func (t *Table) ConnectionLimit(id fleet.LeafID) int {
	if l := t.leaves[id]; l != nil {
		return l.connections
	}
	return minConnections
}

// RecordStatus records the load and the remaining cold time that a reply of a leaf
// reports.
func (t *Table) RecordStatus(now time.Duration, id fleet.LeafID, load Load, hasLoad bool, coldFor time.Duration) {
	l := t.leaves[id]
	if l == nil {
		return
	}
	if hasLoad {
		l.load, l.loadAt, l.hasLoad = load, now, true
	}
	l.extendCold(now, coldFor)
}

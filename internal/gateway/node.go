package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/answertime"
	"github.com/medlarswitch/medlarswitch/internal/degraded"
	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/drainplan"
	"github.com/medlarswitch/medlarswitch/internal/extraload"
	"github.com/medlarswitch/medlarswitch/internal/feedsource"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/latency"
	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/panics"
	"github.com/medlarswitch/medlarswitch/internal/peerfeed"
	"github.com/medlarswitch/medlarswitch/internal/placement"
	"github.com/medlarswitch/medlarswitch/internal/quarantine"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Node is one VM. The state of the decision packages is guarded by mu.
type Node struct {
	config  Config
	store   Store
	codec   Codec
	started time.Time
	drain   *lifecycle.Drain
	// stopping tells running requests of the stop that drain waits for.
	stopping *stopping
	metrics  *nodeMetrics
	// hub serves other VMs; peerClient sends requests to them over links.
	hub        *peerfeed.Hub
	peerClient *peerfeed.Client
	links      *wire.Links
	server     *wire.Server

	// lifetime is cancelled when the node has stopped.
	lifetime context.Context
	cancel   context.CancelFunc
	// gracePeriod is the time from the stop signal to the kill, a
	// time.Duration.
	gracePeriod atomic.Int64
	// activeConfiguration is the configuration that new requests use; nil
	// before the first one.
	activeConfiguration atomic.Pointer[fleet.Configuration]
	// membersListed is closed when the members have been listed. It orders the first
	// listings.
	membersListed     chan struct{}
	membersListedOnce sync.Once
	// rejoin has a value when the store may have lost the member entry.
	rejoin chan struct{}
	// leavesListed is true once the leaves have been listed; partitioned is
	// true while this VM reaches no leaf of another zone and cannot meet the
	// minimum coverage of every route with the leaves that it reaches.
	leavesListed, partitioned atomic.Bool
	// aggregatorPartitioned is true when the aggregator that answered last
	// reported that it is partitioned.
	aggregatorPartitioned atomic.Bool
	// isAggregator is true while other VMs delegate queries to this VM.
	isAggregator atomic.Bool
	// aggregated holds the queries that run here for other VMs.
	aggregated aggregatedRuns

	// storeEra is the latest known era of the store; 0 before one is stated.
	storeEra atomic.Uint64

	// replyMemory is the memory of leaves' replies, runMemory that of the runs which wait for
	// them.
	replyMemory, runMemory *leafconn.Memory
	// callerShares bounds the requests of callers that run.
	callerShares *callerShares
	// runSlots bounds the connections to leaves that runs need.
	runSlots *runSlots
	// callers holds the connections of callers.
	callers *callerConns

	panics *panics.Recorder
	// inDoubt is true, and doubt is closed, after a panic while the state of the
	// decision packages was being changed.
	inDoubt atomic.Bool
	doubt   chan struct{}

	mu          panics.Mutex
	directory   *directory.Directory
	degraded    *degraded.Tracker
	table       *placement.Table
	budgets     *extraload.Budgets
	splitter    *fleet.Splitter
	answerTimes *answertime.Estimator
	durations   *drainplan.Durations
	hedgeDelays *latency.ShardTable
	pools       map[fleet.LeafID]*leafPool
	// idleLimits holds the idle timeouts of leaves by the group of their service.
	idleLimits map[fleet.ServiceName]*leafconn.IdleLimit
	sources    *feedsource.Chooser
	// aggregators chooses the VM that runs a query over many shards.
	aggregators *delegation.Chooser
	// quarantine holds the requests that crash leaves.
	quarantine *quarantine.Table
	// followers does not change after New.
	followers []*follower
}

// leafPool is the connection pool of one process of a leaf. A leaf that is
// restarted gets a new pool.
type leafPool struct {
	addr    string
	started int64
	pool    *leafconn.Pool
}

// New returns a node that does not serve yet.
func New(config Config, store Store, codec Codec) *Node {
	replyMemory := leafconn.NewMemory(config.replyMemory())
	n := &Node{
		config: config, store: store, codec: codec, started: time.Now(),
		drain: lifecycle.NewDrain(), metrics: newNodeMetrics(metrics.NewRegistry(), replyMemory),
		directory: directory.New(), degraded: degraded.New(), table: placement.New(config.Placement),
		budgets: extraload.New(config.ExtraLoad), splitter: fleet.NewSplitter(), answerTimes: answertime.New(),
		replyMemory: replyMemory, runMemory: leafconn.NewMemory(config.runMemory()), runSlots: newRunSlots(config.intakeLimits().LeafRequests), stopping: newStopping(), durations: drainplan.NewDurations(),
		sources: feedsource.New(config.Source), aggregators: delegation.New(config.self()),
		idleLimits: make(map[fleet.ServiceName]*leafconn.IdleLimit),
		aggregated: aggregatedRuns{runs: make(map[aggregatedKey]context.CancelFunc)}, hedgeDelays: latency.NewShardTable(), pools: make(map[fleet.LeafID]*leafPool),
	}
	n.callers = newCallerConns(n, config.intakeLimits())
	n.callerShares = newCallerShares(config.callerShares())
	n.metrics.registerCallers(n.callers)
	n.quarantine = newQuarantine(rand.Uint64())
	n.doubt, n.membersListed, n.rejoin = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	n.panics = panics.NewRecorder(n.metrics.registry)
	n.mu.OnPanic = n.markInDoubt
	n.lifetime, n.cancel = context.WithCancel(context.Background())
	n.gracePeriod.Store(int64(config.GracePeriod))
	n.initPeering()
	for _, kind := range directory.Kinds {
		n.followers = append(n.followers, newFollower(n, kind))
	}
	return n
}

// initPeering creates the client and the server for connections between VMs.
func (n *Node) initPeering() {
	n.hub = peerfeed.NewHub(n.now, n.panics, n.markInDoubt)
	n.hub.SetWitness(n)
	self := wire.Hello{
		VM: topology.VMID(n.config.VM), Boot: topology.BootID(rand.Uint64()), Zone: topology.Zone(n.config.Zone), Role: wire.RoleNode,
	}
	options := wire.Options{Clock: timeline.NewClock(time.Now), Handler: n.handlePeer, Stats: wire.NewStats(n.metrics.registry)}
	n.links = wire.NewLinks(self, options)
	n.links.RedialMax = peerRedialMax
	n.links.ConnectTimeout = leafDialTimeout
	n.peerClient = peerfeed.NewClient(n.links)
	n.server = wire.NewServer(self, options)
	n.links.OnPeer, n.server.OnPeer = n.sendActiveLosses, n.sendActiveLosses
}

// peerRedialMax limits the delay between dials of a seed that is down, and so
// the time until a VM reconnects to a seed that is up again.
const peerRedialMax = time.Second

// now returns the monotonic time that the decision packages use.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// leafDialTimeout limits the dial of a leaf. The handshake and the round trip
// between zones take some 20 ms; a lost packet is retransmitted after 200 ms or
// more, by when another leaf is the better choice.
const leafDialTimeout = 150 * time.Millisecond

func (n *Node) dialLeaf(ctx context.Context, addr string) (net.Conn, error) {
	n.metrics.leafDials.Inc(1)
	d := net.Dialer{Timeout: leafDialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// poolFor returns the connection pool of a leaf, or nil if the leaf is not in
// the directory. The caller holds mu.
func (n *Node) poolFor(id fleet.LeafID) *leafconn.Pool {
	leaf, ok := n.directory.Leaves()[id]
	if !ok {
		return nil
	}
	pooled := n.pools[id]
	if pooled != nil && pooled.addr == leaf.Address && pooled.started == leaf.Started {
		return pooled.pool
	}
	if pooled != nil {
		go pooled.pool.Close()
	}
	pooled = &leafPool{addr: leaf.Address, started: leaf.Started, pool: leafconn.NewPool(leaf.Address, n.table.ConnectionLimit(id), n.idleLimit(leaf.Service), n.dialLeaf)}
	n.pools[id] = pooled
	return pooled.pool
}

// idleLimit returns the estimate of the idle timeout that the leaves of a service share
// with those of the other shards of its routes. The caller holds mu.
func (n *Node) idleLimit(service fleet.ServiceName) *leafconn.IdleLimit {
	group := n.directory.Configuration().Group(service)
	limit := n.idleLimits[group]
	if limit == nil {
		limit = leafconn.NewIdleLimit()
		n.idleLimits[group] = limit
	}
	return limit
}

// propagate passes a kind of object from the directory to the other decision
// packages. The caller holds mu.
func (n *Node) propagate(kind directory.Kind) {
	now := n.now()
	switch kind {
	case directory.KindConfiguration:
		c := n.directory.Configuration()
		if c == nil || c == n.activeConfiguration.Load() {
			return
		}
		n.table.SetConfiguration(c)
		n.budgets.Retain(c)
		n.splitter.Retain(c)
		n.answerTimes.Retain(c)
		n.durations.Retain(c.HasRoute)
		maps.DeleteFunc(n.idleLimits, func(group fleet.ServiceName, _ *leafconn.IdleLimit) bool {
			_, ok := c.Services[group]
			return !ok
		})
		n.replyMemory.SetRoutes(len(c.Routes))
		n.runMemory.SetRoutes(len(c.Routes))
		n.callerShares.setRoutes(len(c.Routes))
		n.limitPools()
		n.activeConfiguration.Store(c)
	case directory.KindLeaves:
		n.table.SetLeaves(now, n.directory.Leaves())
		n.leavesListed.Store(true)
		n.closeRemovedPools()
	case directory.KindEvacuations:
		n.table.SetEvacuated(n.directory.Evacuated())
	case directory.KindMembers:
		n.membersListedOnce.Do(func() { close(n.membersListed) })
		members := n.directory.Members(now)
		if n.table.SetMembers(len(members)) {
			n.limitPools()
		}
		n.table.SetSharers(sharers(n.config.VM, members))
		aggregators := delegation.Aggregators(members)
		n.isAggregator.Store(aggregators[n.config.VM])
		n.budgets.SetFleet(extraload.Fleet{
			Members: len(members), Aggregators: len(aggregators), IsAggregator: aggregators[n.config.VM],
		})
		if n.aggregators.SetMembers(members) {
			klog.InfoS("Aggregators changed", "peers", n.aggregators.Addresses(), "members", len(members))
			n.sources.SetNear(n.aggregators.Addresses())
			n.linkPeers()
		}
	}
}

// sharers returns the VMs that share the limits which leaves state.
func sharers(self string, members []delegation.VM) placement.Sharers {
	out := placement.Sharers{Self: self, Runners: delegation.Runners(members)}
	for _, vm := range members {
		out.Members = append(out.Members, vm.Name)
	}
	return out
}

// limitPools sets the limit of each pool to this VM's share of the leaf's
// connections. The caller holds mu.
func (n *Node) limitPools() {
	for id, pooled := range n.pools {
		pooled.pool.SetLimit(n.table.ConnectionLimit(id))
	}
}

// closeRemovedPools closes the pools of leaves that are no longer in the
// directory. The caller holds mu.
func (n *Node) closeRemovedPools() {
	leaves := n.directory.Leaves()
	for id, pooled := range n.pools {
		if _, ok := leaves[id]; !ok {
			delete(n.pools, id)
			go pooled.pool.Close()
		}
	}
}

// Reload applies changed settings. The addresses to listen on do not change.
func (n *Node) Reload(config Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budgets.SetConfig(config.ExtraLoad)
	n.table.SetConfig(config.Placement)
	n.sources.SetConfig(config.Source)
	n.linkPeers()
	n.gracePeriod.Store(int64(config.GracePeriod))
	klog.InfoS("Settings reloaded", "extraRatio", config.ExtraLoad.Ratio, "extraSlack", config.ExtraLoad.Slack,
		"coldFactor", config.Placement.ColdFactor, "coldSlack", config.Placement.ColdSlack, "grace", config.GracePeriod)
}

// ready reports whether new callers should be sent here. A VM that is
// partitioned, or whose aggregator is, sends its callers to VMs in other zones.
func (n *Node) ready() bool {
	return n.hasSynced() && !n.inDoubt.Load() && !n.drain.Draining() && !n.selfOrAggregatorPartitioned()
}

// selfOrAggregatorPartitioned reports whether this VM is partitioned, or the
// aggregator that answered last reported that it is.
func (n *Node) selfOrAggregatorPartitioned() bool {
	return n.partitioned.Load() || n.aggregatorPartitioned.Load()
}

// hasSynced reports whether the configuration and the leaves have been read.
func (n *Node) hasSynced() bool { return n.activeConfiguration.Load() != nil && n.leavesListed.Load() }

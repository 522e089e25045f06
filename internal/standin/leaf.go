package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/errs"
)

const (
	// PoisonText in a query or payload crashes the leaf that runs it.
	PoisonText = "poison"

	coldSlowdown = 4
	// queuePerSlot is the number of waiting requests per slot above which a leaf
	// sheds new ones.
	queuePerSlot = 2
)

// Leaf is a stand-in of an upstream leaf. It is safe for concurrent use.
type Leaf struct {
	cfg LeafConfig

	mu           sync.Mutex
	server       *http.Server
	conns        map[net.Conn]struct{}
	boot         uint64
	served       int
	running      int
	waiting      int
	slotFree     chan struct{}
	stopped      bool
	unresponsive bool
	leaving      bool
	reportsIdle  bool
	extraRunTime time.Duration
	runs         map[string]int
	stats        LeafStats
}

// NewLeaf returns a leaf that doesn't listen yet.
func NewLeaf(cfg LeafConfig) *Leaf {
	return &Leaf{
		cfg: cfg, conns: make(map[net.Conn]struct{}), runs: make(map[string]int),
		boot: rand.Uint64(), slotFree: make(chan struct{}),
	}
}

// Start listens on the leaf's address and serves requests in the background.
func (l *Leaf) Start() error {
	ln, err := net.Listen("tcp", l.cfg.Address)
	if err != nil {
		return fmt.Errorf("leaf %s: %w", l.cfg.ID, err)
	}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewLeafServiceHandler(l))
	server := &http.Server{Handler: mux, ConnState: l.trackConn}
	l.mu.Lock()
	l.server = server
	l.stopped = false
	l.mu.Unlock()
	go func() { _ = server.Serve(&limitedListener{Listener: ln, leaf: l}) }()
	return nil
}

// Stop closes the listener and all connections.
func (l *Leaf) Stop() {
	l.mu.Lock()
	server := l.server
	l.stopped = true
	l.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Search implements LeafService.
func (l *Leaf) Search(ctx context.Context, req *connect.Request[medlarv1.SearchRequest]) (*connect.Response[medlarv1.SearchResponse], error) {
	boot, err := l.startRun(ctx, req.Msg.GetStartByUnixMs())
	if err != nil {
		return nil, err
	}
	defer l.endRun(boot)
	l.updateStats(func(s *LeafStats) { s.Searches++ })
	snap := req.Msg.GetSnapshot()
	if !l.servesSnapshot(snap) {
		return nil, refusal(errs.ReasonVersionRetired, l.cfg.ID)
	}
	if err := l.simulateRun(ctx, req.Msg.GetText()); err != nil {
		return nil, err
	}
	if !l.servesSnapshot(snap) {
		// The version was retired while the request ran. The leaf replies from its
		// newest snapshot, which the reply names.
		snap = l.newestSnapshot()
	}
	return connect.NewResponse(&medlarv1.SearchResponse{
		Shard: l.cfg.Shard, Snapshot: snap, BootId: l.bootID(), Hits: l.hits(snap.GetIndexVersion()),
	}), nil
}

// Execute implements LeafService.
func (l *Leaf) Execute(ctx context.Context, req *connect.Request[medlarv1.ExecuteRequest]) (*connect.Response[medlarv1.ExecuteResponse], error) {
	boot, err := l.startRun(ctx, req.Msg.GetStartByUnixMs())
	if err != nil {
		return nil, err
	}
	defer l.endRun(boot)
	runs := l.countRun(req.Msg.GetRequestId())
	if err := l.simulateRun(ctx, string(req.Msg.GetPayload())); err != nil {
		return nil, err
	}
	result := fmt.Appendf(nil, "accepted by %s, run %d", l.cfg.ID, runs)
	return connect.NewResponse(&medlarv1.ExecuteResponse{Result: result, BootId: l.bootID()}), nil
}

// Report implements LeafService.
func (l *Leaf) Report(context.Context, *connect.Request[medlarv1.ReportRequest]) (*connect.Response[medlarv1.ReportResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := float64(l.running) / float64(l.cfg.Slots)
	if l.reportsIdle {
		load = 0
	}
	return connect.NewResponse(&medlarv1.ReportResponse{
		BootId: l.boot, IndexVersions: l.cfg.IndexVersions,
		PartitionGeneration: l.cfg.PartitionGeneration,
		Load:                load, Leaving: l.leaving,
	}), nil
}

// simulateRun waits for the run time of a request. The leaf crashes if the
// request is PoisonText.
func (l *Leaf) simulateRun(ctx context.Context, text string) error {
	if text == PoisonText {
		l.Crash()
		return connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	select {
	case <-time.After(l.runTime()):
		return l.waitIfUnresponsive(ctx)
	case <-ctx.Done():
		l.updateStats(func(s *LeafStats) { s.Cancelled++ })
		return ctx.Err()
	}
}

func (l *Leaf) waitIfUnresponsive(ctx context.Context) error {
	l.mu.Lock()
	unresponsive := l.unresponsive
	l.mu.Unlock()
	if !unresponsive {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// hits returns hits whose keys end with the index version.
func (l *Leaf) hits(version uint64) []*medlarv1.Hit {
	hits := make([]*medlarv1.Hit, l.cfg.Hits)
	for i := range hits {
		hits[i] = &medlarv1.Hit{
			Key: fmt.Sprintf("%s/%d@%d", l.cfg.Shard, i, version), Score: 1 / float64(i+1), Shard: l.cfg.Shard,
		}
	}
	return hits
}

func refusal(reason errs.Reason, leaf string) error {
	return errs.ToConnect(errs.New(errs.StepLeafCall, leaf, reason, true, "refused by leaf"), errs.StepLeafCall, leaf)
}

package process_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const (
	// readinessDelay is the time for which the balancer continues to send to an
	// entry after its readiness check starts to fail.
	readinessDelay    = 300 * time.Millisecond
	readinessInterval = 20 * time.Millisecond
	callerInterval    = 20 * time.Millisecond
	callers           = 4
)

// balancedLoad is steady load from callers that send queries and submits through a
// balancer.
type balancedLoad struct {
	cluster *testCluster
	health  *http.Client
	usable  []atomic.Bool
	next    atomic.Uint64
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	queries    int
	submits    int
	incomplete int
	// missing counts the shards that are missing from answers, by reason.
	missing  map[string]int
	failures []string
}

func (c *testCluster) startLoad() *balancedLoad {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &balancedLoad{cluster: c, cancel: cancel, missing: make(map[string]int), usable: make([]atomic.Bool, len(c.Fleet.VMs)), health: &http.Client{Timeout: time.Second}}
	for vm := range l.usable {
		l.usable[vm].Store(true)
		l.wg.Go(func() { l.checkReadiness(ctx, vm) })
	}
	for n := range callers {
		l.wg.Go(func() { l.runCaller(ctx, n) })
	}
	return l
}

// checkReadiness polls the readiness of an entry and updates usable: at once when
// the entry becomes ready, and after readinessDelay when the check fails.
func (l *balancedLoad) checkReadiness(ctx context.Context, vm int) {
	var failing time.Time
	for tick := time.NewTicker(readinessInterval); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
		switch {
		case l.ready(vm):
			failing = time.Time{}
			l.usable[vm].Store(true)
		case failing.IsZero():
			failing = time.Now()
		case time.Since(failing) > readinessDelay:
			l.usable[vm].Store(false)
		}
	}
}

func (l *balancedLoad) ready(vm int) bool {
	resp, err := l.health.Get(l.cluster.ReadyURL(vm, harness.RoleEntry))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pickEntry returns the next usable entry in turn.
func (l *balancedLoad) pickEntry() int {
	for range l.usable {
		vm := int(l.next.Add(1)) % len(l.usable)
		if l.usable[vm].Load() {
			return vm
		}
	}
	return 0
}

// runCaller sends queries, and a submit after every third, until the context is
// done. A call in progress still completes.
func (l *balancedLoad) runCaller(ctx context.Context, caller int) {
	tick := time.NewTicker(callerInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n%4 == 3 {
			l.submit(caller, n)
		} else {
			l.query(fmt.Sprintf("spoon %d of %d", n, caller))
		}
	}
}

func (l *balancedLoad) query(text string) {
	vm, began := l.pickEntry(), time.Now()
	resp, err := l.cluster.Query(l.cluster.ctx, vm, "course-audit", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queries++
	if err != nil {
		l.recordFailure(began, "query through vm %d: %v", vm, err)
	} else if harness.Complete(resp) != nil {
		l.incomplete++
		for _, m := range resp.GetCoverage().GetMissing() {
			l.missing[m.GetReason()]++
		}
	}
}

func (l *balancedLoad) submit(caller, n int) {
	issuer, began := l.pickEntry(), time.Now()
	ticket, err := l.cluster.BeginSubmit(l.cluster.ctx, issuer, "enrol")
	var resp *medlarv1.SubmitResponse
	vm := l.pickEntry()
	if err == nil {
		shard := fmt.Sprintf("enrolment-%02d", 1+(n/4)%20)
		resp, err = l.cluster.Submit(l.cluster.ctx, vm, &medlarv1.SubmitRequest{Ticket: ticket, Class: "enrol", Shard: shard, Payload: []byte(ticket)})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submits++
	if err != nil || resp.GetOutcome() != done {
		l.recordFailure(began, "submit of caller %d, issuer vm %d, through vm %d: %v %v", caller, issuer, vm, resp, err)
	}
}

func (l *balancedLoad) recordFailure(began time.Time, format string, args ...any) {
	l.failures = append(l.failures, began.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// finish stops the callers and asserts that no request failed.
func (l *balancedLoad) finish() {
	l.cancel()
	l.wg.Wait()
	l.cluster.t.Logf("%d queries, %d of them incomplete, missing shards by reason %v; %d submits; %d failures", l.queries, l.incomplete, l.missing, l.submits, len(l.failures))
	for _, f := range l.failures[:min(len(l.failures), 10)] {
		l.cluster.t.Log(f)
	}
	assert.Equal(l.cluster.t, len(l.failures), 0, "failed requests")
}

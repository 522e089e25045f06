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
	// noticeDelay is how long the balancer goes on sending after readiness
	// has failed.
	noticeDelay = 300 * time.Millisecond
	checkEvery  = 20 * time.Millisecond
	callerPause = 20 * time.Millisecond
	callers     = 4
)

// load is a balancer with callers behind it, which query and submit steadily.
type load struct {
	r       *rig
	health  *http.Client
	usable  []atomic.Bool
	next    atomic.Uint64
	stopped context.CancelFunc
	group   sync.WaitGroup

	mu       sync.Mutex
	queries  int
	submits  int
	degraded int
	// missing counts the shards that answers lack by reason.
	missing  map[string]int
	failures []string
}

func (r *rig) startLoad() *load {
	ctx, cancel := context.WithCancel(r.ctx)
	l := &load{r: r, stopped: cancel, missing: make(map[string]int), usable: make([]atomic.Bool, len(r.Fleet.VMs)), health: &http.Client{Timeout: time.Second}}
	for vm := range l.usable {
		l.usable[vm].Store(true)
		l.group.Go(func() { l.check(ctx, vm) })
	}
	for n := range callers {
		l.group.Go(func() { l.call(ctx, n) })
	}
	return l
}

// check follows the readiness of an entry, later by noticeDelay when it fails.
func (l *load) check(ctx context.Context, vm int) {
	var failing time.Time
	for tick := time.NewTicker(checkEvery); ; {
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
		case time.Since(failing) > noticeDelay:
			l.usable[vm].Store(false)
		}
	}
}

func (l *load) ready(vm int) bool {
	resp, err := l.health.Get(l.r.ReadyURL(vm, harness.RoleEntry))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the next entry that the balancer uses.
func (l *load) pick() int {
	for range l.usable {
		vm := int(l.next.Add(1)) % len(l.usable)
		if l.usable[vm].Load() {
			return vm
		}
	}
	return 0
}

// call sends queries, and a submit after every third, until it is stopped. A
// call in progress is finished.
func (l *load) call(ctx context.Context, caller int) {
	tick := time.NewTicker(callerPause)
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

func (l *load) query(text string) {
	vm, began := l.pick(), time.Now()
	resp, err := l.r.Query(l.r.ctx, vm, "course-audit", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queries++
	if err != nil {
		l.fail(began, "query through vm %d: %v", vm, err)
	} else if harness.Complete(resp) != nil {
		l.degraded++
		for _, m := range resp.GetCoverage().GetMissing() {
			l.missing[m.GetReason()]++
		}
	}
}

func (l *load) submit(caller, n int) {
	issuer, began := l.pick(), time.Now()
	ticket, err := l.r.BeginSubmit(l.r.ctx, issuer, "enrol")
	var resp *medlarv1.SubmitResponse
	vm := l.pick()
	if err == nil {
		shard := fmt.Sprintf("enrolment-%02d", 1+(n/4)%20)
		resp, err = l.r.Submit(l.r.ctx, vm, &medlarv1.SubmitRequest{Ticket: ticket, Class: "enrol", Shard: shard, Payload: []byte(ticket)})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submits++
	if err != nil || resp.GetOutcome() != done {
		l.fail(began, "submit of caller %d, issuer vm %d, through vm %d: %v %v", caller, issuer, vm, resp, err)
	}
}

func (l *load) fail(began time.Time, format string, args ...any) {
	l.failures = append(l.failures, began.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// finish stops the callers and checks that no request failed.
func (l *load) finish() {
	l.stopped()
	l.group.Wait()
	l.r.t.Logf("%d queries, %d of them incomplete, missing shards by reason %v; %d submits; %d failures", l.queries, l.degraded, l.missing, l.submits, len(l.failures))
	for _, f := range l.failures[:min(len(l.failures), 10)] {
		l.r.t.Log(f)
	}
	assert.Equal(l.r.t, len(l.failures), 0, "failed requests")
}

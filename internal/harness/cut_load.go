package harness

import (
	"context"
	"fmt"
	"sync"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// callerPace is the least time between two queries of one caller. Without it
// refused callers would try again in a tight loop.
const callerPace = 100 * time.Millisecond

// Load runs queries through entries until it is stopped.
type Load struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	result LoadResult
}

// LoadResult is what callers saw.
type LoadResult struct {
	Queries, Failed, Partial int
	// FirstFailed and FirstPartial describe the first answers of their kind.
	FirstFailed, FirstPartial string
}

// StartLoad runs queries of a class through the given VMs, with several
// callers at each.
func (c *Cluster) StartLoad(ctx context.Context, class string, callers int, vms ...int) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel}
	for _, vm := range vms {
		for n := range callers {
			l.group.Go(func() {
				pace := time.NewTicker(callerPace)
				defer pace.Stop()
				for i := 0; ctx.Err() == nil; i++ {
					resp, err := c.Query(ctx, vm, class, fmt.Sprintf("text %d %d %d", vm, n, i))
					l.count(ctx, vm, resp, err)
					<-pace.C
				}
			})
		}
	}
	return l
}

// AllVMs numbers all VMs from 0.
func (c *Cluster) AllVMs() []int {
	out := make([]int, len(c.Fleet.VMs))
	for i := range out {
		out[i] = i
	}
	return out
}

func (l *Load) count(ctx context.Context, vm int, resp *medlarv1.QueryResponse, err error) {
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Queries++
	cov := resp.GetCoverage()
	switch {
	case err != nil:
		l.result.Failed++
		first(&l.result.FirstFailed, "vm %d: %v", vm, err)
	case cov.GetCoveredWeight() < cov.GetTotalWeight():
		l.result.Partial++
		first(&l.result.FirstPartial, "vm %d: missing %.200v", vm, cov.GetMissing())
	}
}

func first(into *string, format string, args ...any) {
	if *into == "" {
		*into = fmt.Sprintf(format, args...)
	}
}

// TakeResult returns what was counted since the last TakeResult.
func (l *Load) TakeResult() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.result
	l.result = LoadResult{}
	return out
}

// Stop ends the load and returns what was counted since the last Take.
func (l *Load) Stop() LoadResult {
	l.cancel()
	l.group.Wait()
	return l.TakeResult()
}

// Result returns what was counted since the last Take.
func (l *Load) Result() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result
}

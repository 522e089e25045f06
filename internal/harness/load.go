package harness

import (
	"context"
	"fmt"
	"sync"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// queryInterval is the minimum time between two queries of one caller. Without
// it, refused callers would retry in a tight loop.
const queryInterval = 100 * time.Millisecond

// Load sends queries to entries until it is stopped.
type Load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	result LoadResult
}

// LoadResult counts the queries of a Load by their outcome.
type LoadResult struct {
	Queries, Failed, Partial int
	// FirstFailed and FirstPartial describe the first failed query and the first
	// partial answer.
	FirstFailed, FirstPartial string
}

// StartLoad starts queries of a class at the entries of the given VMs, with the
// given number of callers at each entry.
func (c *Cluster) StartLoad(ctx context.Context, class string, callers int, vms ...int) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel}
	for _, vm := range vms {
		for n := range callers {
			l.wg.Go(func() {
				tick := time.NewTicker(queryInterval)
				defer tick.Stop()
				for i := 0; ctx.Err() == nil; i++ {
					resp, err := c.Query(ctx, vm, class, fmt.Sprintf("text %d %d %d", vm, n, i))
					l.record(ctx, vm, resp, err)
					<-tick.C
				}
			})
		}
	}
	return l
}

// AllVMs returns the numbers of all VMs.
func (c *Cluster) AllVMs() []int {
	out := make([]int, len(c.Fleet.VMs))
	for i := range out {
		out[i] = i
	}
	return out
}

func (l *Load) record(ctx context.Context, vm int, resp *medlarv1.QueryResponse, err error) {
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
		setIfEmpty(&l.result.FirstFailed, "vm %d: %v", vm, err)
	case cov.GetCoveredWeight() < cov.GetTotalWeight():
		l.result.Partial++
		setIfEmpty(&l.result.FirstPartial, "vm %d: missing %.200v", vm, cov.GetMissing())
	}
}

func setIfEmpty(into *string, format string, args ...any) {
	if *into == "" {
		*into = fmt.Sprintf(format, args...)
	}
}

// TakeResult returns the counts since the last TakeResult and resets them.
func (l *Load) TakeResult() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.result
	l.result = LoadResult{}
	return out
}

// Stop stops the load and returns the counts since the last TakeResult.
func (l *Load) Stop() LoadResult {
	l.cancel()
	l.wg.Wait()
	return l.TakeResult()
}

// Result returns the counts since the last TakeResult without a reset.
func (l *Load) Result() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result
}

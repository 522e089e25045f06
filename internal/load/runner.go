package load

import (
	"context"
	"sync"
	"time"
)

// Runner sends requests at a steady rate.
type Runner struct {
	// Rate is in requests per second.
	Rate float64
	// Count is the number of requests.
	Count int
	// MaxInFlight bounds the requests that are open at a time; when it is reached
	// requests wait, and their latency counts from when they were due.
	MaxInFlight int
	// Call sends request n and returns the share of the data it covered, or
	// the name of its error.
	Call func(ctx context.Context, n int) (coverage float64, err string)
}

// outcome is the end of one request.
type outcome struct {
	took     time.Duration
	coverage float64
	err      string
}

// Run sends all requests and waits for their answers.
func (r *Runner) Run(ctx context.Context) *Report {
	report := newReport()
	outcomes := make(chan outcome, r.MaxInFlight)
	open := make(chan struct{}, r.MaxInFlight)
	began := time.Now()
	go r.send(ctx, began, open, outcomes)
	for o := range outcomes {
		report.add(o)
	}
	report.finish(time.Since(began))
	return report
}

func (r *Runner) send(ctx context.Context, began time.Time, open chan struct{}, outcomes chan<- outcome) {
	var wg sync.WaitGroup
	for n := range r.Count {
		due := began.Add(time.Duration(float64(n) / r.Rate * float64(time.Second)))
		if !wait(ctx, due, open) {
			break
		}
		wg.Go(func() {
			defer func() { <-open }()
			coverage, err := r.Call(ctx, n)
			outcomes <- outcome{took: time.Since(due), coverage: coverage, err: err}
		})
	}
	wg.Wait()
	close(outcomes)
}

// wait returns when a request is due and may be opened, or false when the
// context is done.
func wait(ctx context.Context, due time.Time, open chan<- struct{}) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case open <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

package load

import (
	"context"
	"sync"
	"time"
)

// Runner sends requests at a constant rate.
type Runner struct {
	// Rate is in requests per second.
	Rate float64
	// Count is the number of requests.
	Count int
	// MaxInFlight bounds the requests that are in flight at a time. Further
	// requests wait, and the wait counts as latency.
	MaxInFlight int
	// Call sends request n. It returns the share of the data that the reply
	// covers, or the name of the error.
	Call func(ctx context.Context, n int) (coverage float64, errorName string)
}

// requestResult is the reply or the error of one request.
type requestResult struct {
	latency   time.Duration
	coverage  float64
	errorName string
}

// Run sends all requests and waits for their replies.
func (r *Runner) Run(ctx context.Context) *Report {
	report := newReport()
	results := make(chan requestResult, r.MaxInFlight)
	inFlight := make(chan struct{}, r.MaxInFlight)
	startedAt := time.Now()
	go r.send(ctx, startedAt, inFlight, results)
	for result := range results {
		report.add(result)
	}
	report.finish(time.Since(startedAt))
	return report
}

func (r *Runner) send(ctx context.Context, startedAt time.Time, inFlight chan struct{}, results chan<- requestResult) {
	var wg sync.WaitGroup
	for n := range r.Count {
		due := startedAt.Add(time.Duration(float64(n) / r.Rate * float64(time.Second)))
		if !waitForSlot(ctx, due, inFlight) {
			break
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			coverage, errorName := r.Call(ctx, n)
			results <- requestResult{latency: time.Since(due), coverage: coverage, errorName: errorName}
		})
	}
	wg.Wait()
	close(results)
}

// waitForSlot waits until a request is due and fewer than MaxInFlight requests
// are in flight. It returns false if the context is cancelled before.
func waitForSlot(ctx context.Context, due time.Time, inFlight chan<- struct{}) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

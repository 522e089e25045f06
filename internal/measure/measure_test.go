package measure

import (
	"flag"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	seed = 1
	// maxParallelRuns leaves cores to other processes on the machine.
	maxParallelRuns = 6

	p99Limit     = 200 * time.Millisecond
	zoneOutLimit = 5 * time.Second
)

// lengthFactor makes each run longer, for percentiles of the far tail.
var lengthFactor = flag.Int("long", 1, "factor of the length of each run")

// resultMap holds the results of one policy by the names of scenario and size.
type resultMap map[[2]string]*Result

var (
	baseline = sync.OnceValue(func() resultMap { return runScenarios(Baseline(), Sizes()) })
	initial  = sync.OnceValue(func() resultMap { return runScenarios(Initial(), smallSizes()) })
	current  = sync.OnceValue(func() resultMap { return runScenarios(Current(), Sizes()) })
)

// smallSizes returns the sizes with 20 shards. The initial policy runs at these
// only, since its long queues make its runs the slowest.
func smallSizes() []Size { return []Size{Sizes()[0], Sizes()[2]} }

// runScenarios runs one policy under all scenarios.
func runScenarios(p Policy, sizes []Size) resultMap {
	out := make(resultMap)
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for _, scenario := range Scenarios() {
		scenario.Length *= time.Duration(*lengthFactor)
		for _, size := range sizes {
			semaphore <- struct{}{}
			wg.Go(func() {
				r := Run(scenario, size, p, seed)
				mu.Lock()
				out[[2]string{scenario.Name, size.Name}] = r
				mu.Unlock()
				<-semaphore
			})
		}
	}
	wg.Wait()
	return out
}

// forEachResult calls visit for all results of a policy, in the order of the
// tables.
func forEachResult(m resultMap, visit func(r *Result)) {
	for _, scenario := range Scenarios() {
		for _, size := range Sizes() {
			if r := m[[2]string{scenario.Name, size.Name}]; r != nil {
				visit(r)
			}
		}
	}
}

// Prints the table of docs/measurements.md.
func TestMeasures(t *testing.T) {
	var rows []*Result
	forEachResult(baseline(), func(r *Result) {
		key := [2]string{r.Scenario.Name, r.Size.Name}
		rows = append(rows, r)
		if initialResult := initial()[key]; initialResult != nil {
			rows = append(rows, initialResult)
		}
		rows = append(rows, current()[key])
	})
	t.Logf("seed %d\n%s", seed, Report(rows))
}

// Guards against a run that depends on more than its seed, such as map order or
// the clock.
func TestSameSeed(t *testing.T) {
	for _, p := range []Policy{Baseline(), Current()} {
		another := Run(Scenarios()[1], Sizes()[2], p, seed)
		one := Run(Scenarios()[1], Sizes()[2], p, seed)
		assert.Equal(t, Report([]*Result{one}), Report([]*Result{another}))
	}
}

// Guards against extra load above 5% in the steady scenario, and above 5% plus
// the burst in any scenario.
func TestExtraLoad(t *testing.T) {
	for _, m := range []resultMap{initial(), current()} {
		forEachResult(m, func(r *Result) {
			assert.Check(t, r.MaxBudgetExcess <= extraBurst, "%s %s", r.Scenario.Name, r.Size.Name)
			if r.Scenario.Name == "steady" {
				assert.Check(t, r.ExtraShare() <= extraShare, "%s", r.Size.Name)
			}
		})
	}
}

// Guards against requests that start in an availability zone more than 5 s after
// it was taken out.
func TestZoneOutGetsNoWork(t *testing.T) {
	for _, m := range []resultMap{initial(), current()} {
		forEachResult(m, func(r *Result) {
			assert.Check(t, r.LastStartAfterZoneOut <= zoneOutLimit, "%s %s: %s", r.Scenario.Name, r.Size.Name, r.LastStartAfterZoneOut)
		})
	}
}

// Guards against concurrent requests to a cold leaf in all scenarios where the
// relay can detect that the leaf became cold.
func TestColdLeafIsNotOverloaded(t *testing.T) {
	forEachResult(current(), func(r *Result) {
		if r.Scenario.Name != coldSilent {
			assert.Check(t, r.ColdViolations == 0, "%s %s", r.Scenario.Name, r.Size.Name)
		}
	})
}

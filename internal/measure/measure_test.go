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
	// workers leaves some cores to others on the machine.
	workers = 6

	answerLimit  = 200 * time.Millisecond
	zoneOutLimit = 5 * time.Second
)

// long makes each run longer, for percentiles of the far tail.
var long = flag.Int("long", 1, "factor of the length of each run")

// matrix holds the results of one policy by scenario and size.
type matrix map[[2]string]*Result

var (
	baseline = sync.OnceValue(func() matrix { return measure(Plain(), Sizes()) })
	first    = sync.OnceValue(func() matrix { return measure(First(), smallSizes()) })
	current  = sync.OnceValue(func() matrix { return measure(Current(), Sizes()) })
)

// smallSizes are the sizes with 20 shards. The first policy is measured at
// these only, since its long queues make its runs the slowest.
func smallSizes() []Size { return []Size{Sizes()[0], Sizes()[2]} }

// measure runs one policy under all scenarios.
func measure(p Policy, sizes []Size) matrix {
	out := make(matrix)
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, workers)
	for _, scenario := range Scenarios() {
		scenario.Length *= time.Duration(*long)
		for _, size := range sizes {
			free <- struct{}{}
			wg.Go(func() {
				r := Run(scenario, size, p, seed)
				mu.Lock()
				out[[2]string{scenario.Name, size.Name}] = r
				mu.Unlock()
				<-free
			})
		}
	}
	wg.Wait()
	return out
}

// each calls f for all results of a policy, in the order of the tables.
func each(m matrix, f func(r *Result)) {
	for _, scenario := range Scenarios() {
		for _, size := range Sizes() {
			if r := m[[2]string{scenario.Name, size.Name}]; r != nil {
				f(r)
			}
		}
	}
}

// Prints the table of docs/measurements.md.
func TestMeasures(t *testing.T) {
	var rows []*Result
	each(baseline(), func(r *Result) {
		key := [2]string{r.Scenario.Name, r.Size.Name}
		rows = append(rows, r)
		if f := first()[key]; f != nil {
			rows = append(rows, f)
		}
		rows = append(rows, current()[key])
	})
	t.Logf("seed %d\n%s", seed, Report(rows))
}

// Guards against hidden inputs: the same seed must give the same figures.
func TestSameSeed(t *testing.T) {
	for _, p := range []Policy{Plain(), Current()} {
		again := Run(Scenarios()[1], Sizes()[2], p, seed)
		first := Run(Scenarios()[1], Sizes()[2], p, seed)
		assert.Equal(t, Report([]*Result{first}), Report([]*Result{again}))
	}
}

// Guards against extra load above 5% in the steady state and, in a storm,
// above 5% plus the burst.
func TestExtraLoad(t *testing.T) {
	for _, m := range []matrix{first(), current()} {
		each(m, func(r *Result) {
			assert.Check(t, r.OverBudget <= extraBurst, "%s %s", r.Scenario.Name, r.Size.Name)
			if r.Scenario.Name == "steady" {
				assert.Check(t, r.ExtraShare() <= extraShare, "%s", r.Size.Name)
			}
		})
	}
}

// Guards against new work for an availability zone long after it was taken out.
func TestZoneOutGetsNoWork(t *testing.T) {
	for _, m := range []matrix{first(), current()} {
		each(m, func(r *Result) {
			assert.Check(t, r.LateWork <= zoneOutLimit, "%s %s: %s", r.Scenario.Name, r.Size.Name, r.LateWork)
		})
	}
}

// Guards against more load on a cold leaf than it bears, whenever the leaf
// gives a sign that it restarted.
func TestColdLeafIsNotOverloaded(t *testing.T) {
	each(current(), func(r *Result) {
		if r.Scenario.Name != silentCold {
			assert.Check(t, r.ColdViolations == 0, "%s %s", r.Scenario.Name, r.Size.Name)
		}
	})
}

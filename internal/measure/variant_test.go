package measure

import (
	"flag"
	"slices"
	"sync"
	"testing"
)

var printVariants = flag.Bool("variants", false, "print the tables of variants")

// runVariants runs variants at the sizes with 20 shards under the named
// scenarios.
func runVariants(list []Variant, scenarios ...string) []*PooledResult {
	rows := make(map[string]*PooledResult)
	var order []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for _, scenario := range Scenarios() {
		if !slices.Contains(scenarios, scenario.Name) {
			continue
		}
		for _, size := range smallSizes() {
			for _, v := range list {
				key := scenario.Name + size.Name + v.Name
				order = append(order, key)
				semaphore <- struct{}{}
				wg.Go(func() {
					pooled := RunSeeds(v, scenario, size, []uint64{1, 2, 3})
					mu.Lock()
					rows[key] = pooled
					mu.Unlock()
					<-semaphore
				})
			}
		}
	}
	wg.Wait()
	var out []*PooledResult
	for _, key := range order {
		out = append(out, rows[key])
	}
	return out
}

// Prints the tables of variants. It checks no bounds.
func TestVariants(t *testing.T) {
	if !*printVariants {
		t.Skip("prints tables only; run with -variants")
	}
	t.Logf("seeds 1 to 3\n%s", VariantReport(runVariants(HedgeVariants(), "steady", "stragglers", "dead-replica")))
	t.Logf("seeds 1 to 3\n%s", VariantReport(runVariants(Ablations(),
		"steady", "slow-replica", "dead-replica", "cold-restart", "zones-in-turn", "overload")))
}

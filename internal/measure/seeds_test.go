package measure

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
)

var (
	seedCount     = flag.Int("seeds", 0, "print results of the current policy over this many seeds")
	scenarioNames = flag.String("scenario", "zone-out-back,zones-in-turn", "scenarios to run over seeds, separated by commas")
)

// runOverSeeds runs a scenario with seeds 1 to n. It returns the pooled result
// and the number of seeds whose 99th percentile is above the limit of 200 ms.
func runOverSeeds(s Scenario, size Size, n int) (pooled *PooledResult, aboveLimit int) {
	pooled = &PooledResult{Variant: "current", Scenario: s.Name, Size: size.Name, Main: newClassStats()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for i := range n {
		semaphore <- struct{}{}
		wg.Go(func() {
			one := RunSeeds(Variant{Name: "current", Policy: Current()}, s, size, []uint64{uint64(i) + 1})
			mu.Lock()
			defer mu.Unlock()
			pooled.Main.add(&one.Main)
			pooled.FirstSends, pooled.ExtraSends, pooled.ColdViolations = pooled.FirstSends+one.FirstSends, pooled.ExtraSends+one.ExtraSends, pooled.ColdViolations+one.ColdViolations
			if one.Main.LatencyPercentile(99) > p99Limit {
				aboveLimit++
			}
			<-semaphore
		})
	}
	wg.Wait()
	return pooled, aboveLimit
}

// Prints the results of the current policy over many seeds. It checks no bounds.
func TestOverSeeds(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("prints a table only; run with -seeds 30")
	}
	for _, s := range Scenarios() {
		if !slices.Contains(strings.Split(*scenarioNames, ","), s.Name) {
			continue
		}
		for _, size := range Sizes() {
			pooled, aboveLimit := runOverSeeds(s, size, *seedCount)
			t.Logf("%d of %d seeds above %s\n%s", aboveLimit, *seedCount, p99Limit, VariantReport([]*PooledResult{pooled}))
		}
	}
}

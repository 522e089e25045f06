package measure

import (
	"flag"
	"slices"
	"sync"
	"testing"
)

var variants = flag.Bool("variants", false, "print the tables of variants")

// pooled runs variants at the sizes with 20 shards under some scenarios.
func pooled(list []Variant, names ...string) []*Pooled {
	rows := make(map[string]*Pooled)
	var order []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, workers)
	for _, scenario := range Scenarios() {
		if !slices.Contains(names, scenario.Name) {
			continue
		}
		for _, size := range smallSizes() {
			for _, v := range list {
				key := scenario.Name + size.Name + v.Name
				order = append(order, key)
				free <- struct{}{}
				wg.Go(func() {
					r := Pool(v, scenario, size, []uint64{1, 2, 3})
					mu.Lock()
					rows[key] = r
					mu.Unlock()
					<-free
				})
			}
		}
	}
	wg.Wait()
	var out []*Pooled
	for _, key := range order {
		out = append(out, rows[key])
	}
	return out
}

// Prints the tables of variants; they hold no bounds.
func TestVariants(t *testing.T) {
	if !*variants {
		t.Skip("prints tables only; run with -variants")
	}
	t.Logf("seeds 1 to 3\n%s", VariantReport(pooled(HedgeVariants(), "steady", "stragglers", "dead-replica")))
	t.Logf("seeds 1 to 3\n%s", VariantReport(pooled(Ablations(),
		"steady", "slow-replica", "dead-replica", "cold-restart", "zones-in-turn", "overload")))
}

package measure

import (
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
)

var (
	seeds    = flag.Int("seeds", 0, "print figures of the current policy over this many seeds")
	scenario = flag.String("scenario", "zone-out-back,zones-in-turn", "scenarios of the figures over seeds")
)

// overSeeds runs a scenario with seeds from 1 and returns the pooled figures and
// how many of the seeds missed the limit of 200 ms.
func overSeeds(s Scenario, size Size, n int) (all *Pooled, missed int) {
	all = &Pooled{Variant: "current", Scenario: s.Name, Size: size.Name, Main: newFigures()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	free := make(chan struct{}, workers)
	for i := range n {
		free <- struct{}{}
		wg.Go(func() {
			one := Pool(Variant{Name: "current", Policy: Current()}, s, size, []uint64{uint64(i) + 1})
			mu.Lock()
			defer mu.Unlock()
			all.Main.add(&one.Main)
			all.Firsts, all.Extra, all.Cold = all.Firsts+one.Firsts, all.Extra+one.Extra, all.Cold+one.Cold
			if one.Main.At(99) > answerLimit {
				missed++
			}
			<-free
		})
	}
	wg.Wait()
	return all, missed
}

// Prints how the current policy does over many seeds; it holds no bounds.
func TestOverSeeds(t *testing.T) {
	if *seeds == 0 {
		t.Skip("prints a table only; run with -seeds 30")
	}
	for _, s := range Scenarios() {
		if !slices.Contains(strings.Split(*scenario, ","), s.Name) {
			continue
		}
		for _, size := range Sizes() {
			all, missed := overSeeds(s, size, *seeds)
			t.Logf("%d of %d seeds above %s\n%s", missed, *seeds, answerLimit, VariantReport([]*Pooled{all}))
		}
	}
}

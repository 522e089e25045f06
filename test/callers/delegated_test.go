package callers

import (
	"fmt"
	"testing"
)

// Guards against queries that exceed the memory of the VM that delegates them, or of the one that
// runs them.
func TestDelegatedQueries(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, true, []row{
		{name: "short header lines", request: shortLines, path: widePath},
		{name: "bodies", request: withBody, path: widePath},
		{name: "small chunks", request: smallChunks, path: widePath},
	})
}

// delegatingVMs is the number of VMs that delegate to one.
const delegatingVMs = 4

// smallAggregator is a VM with less memory than the queries take that it runs for others at a time.
var smallAggregator = vmLimits{memory: 40 << 20, descriptors: 4100}

// Guards against a VM whose memory is exceeded by the queries of several others, each of which
// keeps within its own.
func TestQueriesOfManyVMs(t *testing.T) {
	for _, row := range []row{
		{name: "short header lines", request: shortLines, path: widePath},
		{name: "bodies", request: withBody, path: widePath},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := startService(t, defaultShards)
			aggregator := startVM(t, "aggregator", s.store.Addr(), 4, smallAggregator)
			vms := []*vm{aggregator}
			for i := range delegatingVMs {
				v := startVM(t, fmt.Sprintf("vm-%d", i+1), s.store.Addr(), 0.4, smallMemory)
				waitDelegated(t, v)
				waitServed(t, v, row.path, row.request)
				vms = append(vms, v)
			}
			release := s.hold()
			var crowds []*crowd
			for _, v := range vms[1:] {
				crowds = append(crowds, startCrowd(t, v.callers, memoryCrowd/delegatingVMs, row))
			}
			for _, c := range crowds {
				c.sent.Wait()
			}
			for _, v := range vms {
				waitServed(t, v, ordinaryPath, ordinary)
				v.check()
			}
			release()
			for _, v := range vms {
				waitServed(t, v, ordinaryPath, ordinary)
				v.check()
			}
		})
	}
}

package callers

import (
	"cmp"
	"testing"
)

const (
	// memoryCrowd is a number of callers whose requests exceed smallMemory, descriptorCrowd
	// one whose connections exceed fewDescriptors.
	memoryCrowd     = 250
	descriptorCrowd = 600
)

// smallMemory is a VM with little memory and the usual descriptors, fewDescriptors the reverse.
var (
	smallMemory    = vmLimits{memory: 64 << 20, descriptors: 4100}
	fewDescriptors = vmLimits{memory: 284 << 20, descriptors: 400}
)

// Paths of the crowds' requests: one leaf runs those of singlePath, and a leaf of each shard
// those of widePath. The leaf of singlePath also runs those of patientPath. One leaf answers those of longPath, at length. No route has nonePath.
const (
	ordinaryPath = "/one/x"
	singlePath   = "/order/x"
	widePath     = "/wide/x"
	longPath     = "/long/x"
	patientPath  = "/patient/x"
	nonePath     = "/none/x"
)

// row is one kind of crowd.
type row struct {
	name string
	// request returns the text of a legal request for a path.
	request func(path string) string
	path    string
	// shards is the number of shards of widePath; 0 means defaultShards.
	shards int
	// withheld is the number of bytes at its end that the crowd does not send, at most all.
	withheld int
	// unread is true if the callers do not read their answers.
	unread bool
	// piece is the number of bytes that a caller sends at a time; 0 means all.
	piece int
}

// runRows runs each kind of crowd against a VM of its own, or against one that delegates its
// queries to another VM.
func runRows(t *testing.T, callers int, limits vmLimits, delegated bool, rows []row) {
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(t, callers, limits, delegated) })
	}
}

// run checks that all VMs live and are within their limits, and that an ordinary request is
// answered, beside the crowd and after it. Before, a single request of the crowd is served.
func (r row) run(t *testing.T, callers int, limits vmLimits, delegated bool) {
	s := startService(t, cmp.Or(r.shards, defaultShards))
	vms := []*vm{startVM(t, "vm-1", s.store.Addr(), 0.4, limits)}
	if delegated {
		vms = append(vms, startVM(t, "vm-2", s.store.Addr(), 4, limits))
		waitDelegated(t, vms[0])
	}
	check := func() {
		t.Helper()
		waitServed(t, vms[0], ordinaryPath, ordinary)
		for _, v := range vms {
			v.check()
		}
	}
	waitServed(t, vms[0], widePath, ordinary)
	if r.path != nonePath {
		waitServed(t, vms[0], r.path, r.request)
	}
	check()
	release := s.hold()
	c := startCrowd(t, vms[0].callers, callers, r)
	c.sent.Wait()
	check()
	release()
	c.leave()
	check()
}

package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against entries that choose an index version that a leaf has dropped,
// until the next regular probe of the leaf.
func TestDroppedVersionMakesAProbeDue(t *testing.T) {
	other := topology.Snapshot{IndexVersion: pinnedSnapshot.IndexVersion + 1, PartitionGeneration: pinnedSnapshot.PartitionGeneration}
	rows := []struct {
		name   string
		result leafResult
		due    bool
	}{
		{"served", leafResult{snapshot: pinnedSnapshot}, false},
		{"refused", leafResult{err: errs.New(errs.StepLeafCall, "leaf", errs.ReasonVersionRetired, true, "dropped")}, true},
		{"answered from another version", leafResult{snapshot: other}, true},
		{"shed", leafResult{err: errs.New(errs.StepLeafCall, "leaf", errs.ReasonShed, true, "busy")}, false},
		{"executed", leafResult{result: []byte("done")}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := newWorkerFixture(t)
			release := r.occupySlot()
			defer release()
			r.deliver(requestCompleted{id: r.nextID, result: row.result})
			assert.Equal(t, r.reportOutdated, row.due)
		})
	}
}

package route

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a ticket that is handled by a VM that has no record of it, and
// against one that is forwarded in a loop.
func TestDecide(t *testing.T) {
	view := topology.VMView{VMs: []topology.VM{{ID: "vm-2", EntryAddress: "127.0.0.1:2", Leaving: true}, {ID: "vm-3"}}}
	for _, c := range []struct {
		self, issuer topology.VMID
		forwarded    bool
		want         Route
	}{
		{"vm-1", "vm-1", false, Route{Kind: Local}}, // own ticket, own VM not listed
		{"vm-1", "vm-1", true, Route{Kind: Local}},
		{"vm-1", "vm-2", false, Route{Kind: Forward, Address: "127.0.0.1:2"}},
		{"vm-1", "vm-2", true, unknown(errs.ReasonNotOwner)},
		{"vm-1", "vm-8", false, unknown(errs.ReasonIssuerGone)}, // not listed
		{"vm-1", "vm-3", false, unknown(errs.ReasonIssuerGone)}, // no entry address
	} {
		assert.DeepEqual(t, Decide(c.self, view, submit.Ticket{VM: c.issuer}, c.forwarded), c.want)
	}
}

// Guards against the answer "not run" for a request that may have run after an
// earlier forward.
func TestFailedForwardIsUnknown(t *testing.T) {
	dial := errs.New(errs.StepForward, "vm-2", errs.ReasonDown, true, "connection refused")
	for reason, err := range map[errs.Reason]error{
		errs.ReasonDown:     errors.Wrap(dial, "submit"),
		errs.ReasonDeadline: errs.New(errs.StepForward, "vm-2", errs.ReasonDeadline, false, "no reply"),
		errs.ReasonInternal: errors.New("other"),
	} {
		assert.DeepEqual(t, FailedForwardOutcome(err, "vm-2"), submit.Outcome{Kind: submit.Unknown, Reason: reason})
	}
}

package submit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	second      = time.Second
	ledgerLimit = 2
	resultLimit = 4
)

var testConfig = Config{VM: "vm-1", Boot: 0xb1, Lifetime: 100 * second, MaxTickets: ledgerLimit, MaxResultBytes: resultLimit}

// fixture is a ledger with one ticket, issued at time 0.
type fixture struct {
	ledger *Ledger
	ticket Ticket
}

// step is one call with the result that it must have.
type step func(t *testing.T, f *fixture)

// submit sends the ticket with deadline 10 s.
func submit(at time.Duration, hash uint64, want string) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		assert.Equal(t, f.ledger.Submit(at, f.ticket, hash, 10*second).String(), want, "submit at %v", at)
	}
}

func dispatch(at time.Duration, want bool) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		assert.Equal(t, f.ledger.Dispatch(at, f.ticket), want, "dispatch at %v", at)
	}
}

func finish(at time.Duration, o Outcome, want string) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		assert.Equal(t, f.ledger.Finish(at, f.ticket, o).String(), want, "finish at %v", at)
	}
}

func records(at time.Duration, want int) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		f.ledger.Expire(at)
		assert.Equal(t, f.ledger.Len(), want, "records at %v", at)
	}
}

func contradictions(want uint64) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		assert.Equal(t, f.ledger.Contradictions(), want, "contradictions")
	}
}

// begin issues another ticket, which the following steps do not use.
func begin(at time.Duration, want errs.Reason) step {
	return func(t *testing.T, f *fixture) {
		t.Helper()
		_, err := f.ledger.Begin(at)
		if want == "" {
			assert.NilError(t, err)
			return
		}
		var e *errs.Error
		assert.Assert(t, err != nil)
		assert.Assert(t, asError(err, &e))
		assert.DeepEqual(t, []any{e.Step, e.Reason, e.NotRun}, []any{errs.StepTicket, want, true})
	}
}

func present(change func(*Ticket)) step {
	return func(_ *testing.T, f *fixture) { change(&f.ticket) }
}

func otherVM(t *Ticket)   { t.VM = "vm-2" }
func otherBoot(t *Ticket) { t.Boot = topology.BootID(0xb0) }
func nextSeq(t *Ticket)   { t.Seq++ }
func zeroSeq(t *Ticket)   { t.Seq = 0 }
func later(t *Ticket)     { t.IssuedAt += 50 * second }

package submit

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// step is one call for a ticket issued at time 0, and its expected result.
type step struct {
	want any
	call func(l *Ledger, t *Ticket) any
}

func submit(at time.Duration, hash uint64, want string) step {
	return step{want, func(l *Ledger, t *Ticket) any { return l.Submit(at, *t, hash, 10*second).String() }}
}
func dispatch(at time.Duration, want bool) step {
	return step{want, func(l *Ledger, t *Ticket) any { return l.Dispatch(at, *t) }}
}
func finish(at time.Duration, o Outcome, want string) step {
	return step{want, func(l *Ledger, t *Ticket) any { return l.Finish(at, *t, o).String() }}
}
func records(at time.Duration, want int) step {
	return step{want, func(l *Ledger, _ *Ticket) any { l.Expire(at); return l.Len() }}
}
func contradictions(want uint64) step {
	return step{want, func(l *Ledger, _ *Ticket) any { return l.Contradictions() }}
}

// begin issues another ticket, which later steps do not use.
func begin(at time.Duration, want string) step {
	return step{want, func(l *Ledger, _ *Ticket) any { _, err := l.Begin(at); return errorSummary(err) }}
}

// useTicket replaces the ticket for all later steps.
func useTicket(other Ticket) step {
	return step{nil, func(_ *Ledger, t *Ticket) any { *t = other; return nil }}
}

// errorSummary returns the step, the reason and NotRun of an *errs.Error, or "" for
// any other error.
func errorSummary(err error) string {
	var e *errs.Error
	if !errors.As(err, &e) {
		return ""
	}
	return fmt.Sprintf("%s %s notrun=%v", e.Step, e.Reason, e.NotRun)
}

const (
	second      = time.Second
	ledgerLimit = 2
	resultLimit = 4

	forgedSeq  = "reject ticket at vm-1: invalid-request: ticket b1:2:0:vm-1 was not issued, the last sequence number is 1"
	forgedZero = "reject ticket at vm-1: invalid-request: ticket b1:0:0:vm-1 was not issued, the last sequence number is 1"
	forgedTime = "reject ticket at vm-1: invalid-request: ticket b1:1:50000000000:vm-1 was not issued at that time"
	otherHash  = "reject ticket at vm-1: invalid-request: ticket b1:1:0:vm-1 was used for another request"
	lateAnswer = "not run (deadline-exceeded)"
	shedAnswer = "not run (upstream-shed)"
	lost       = "outcome unknown (connection-lost)"
	expired    = "outcome unknown (ticket-expired)"
)

var (
	done        = Outcome{Kind: Done, Result: []byte("ok")}
	shed        = Outcome{Kind: NotRun, Reason: errs.ReasonShed}
	unknownLost = Outcome{Kind: Unknown, Reason: errs.ReasonConnectionLost}
)

// Guards against a request that runs twice, and against a wrong answer, under each
// fault that can affect a submission.
func TestFaults(t *testing.T) {
	run := []step{submit(1*second, 7, "run"), dispatch(2*second, true)}
	after := func(first []step, rest ...step) []step { return append(append([]step{}, first...), rest...) }
	for name, steps := range map[string][]step{
		"repeat before dispatch":                        {submit(1*second, 7, "run"), submit(2*second, 7, "join"), dispatch(3*second, true)},
		"repeat while running":                          after(run, submit(3*second, 7, "join"), dispatch(3*second, false)),
		"repeat after done":                             after(run, finish(3*second, done, "done"), submit(4*second, 7, "answer done"), dispatch(4*second, false)),
		"repeat and delayed duplicate after not run":    after(run, finish(3*second, shed, shedAnswer), submit(4*second, 7, "answer "+shedAnswer), submit(99*second, 7, "answer "+shedAnswer), dispatch(99*second, false)),
		"delayed duplicate after the record is freed":   after(run, finish(3*second, shed, shedAnswer), submit(100*second, 7, "answer "+expired), dispatch(100*second, false)),
		"replaced boot":                                 {useTicket(Ticket{"vm-1", 0xb0, 1, 0}), submit(1*second, 7, "answer outcome unknown (issuer-gone)"), dispatch(1*second, false)},
		"ticket of another VM":                          {useTicket(Ticket{"vm-2", 0xb1, 1, 0}), submit(1*second, 7, "answer outcome unknown (not-owner)"), dispatch(1*second, false)},
		"forged sequence":                               {useTicket(Ticket{"vm-1", 0xb1, 2, 0}), submit(200*second, 7, forgedSeq), dispatch(200*second, false)},
		"forged sequence zero":                          {useTicket(Ticket{"vm-1", 0xb1, 0, 0}), submit(200*second, 7, forgedZero)},
		"forged issue time":                             {useTicket(Ticket{"vm-1", 0xb1, 1, 50 * second}), submit(60*second, 7, forgedTime), dispatch(1*second, false)},
		"forged issue time, record freed":               {useTicket(Ticket{"vm-1", 0xb1, 1, 50 * second}), submit(100*second, 7, forgedTime)},
		"unused ticket that expired":                    {submit(100*second, 7, "answer "+expired), dispatch(100*second, false), records(100*second, 0)},
		"dispatch without submit":                       {dispatch(1*second, false), submit(1*second, 7, "run")},
		"finish without submit":                         {finish(1*second, done, "outcome unknown (invalid-request)"), submit(1*second, 7, "run")},
		"submit after the deadline":                     {submit(10*second, 7, "answer "+lateAnswer), dispatch(10*second, false), records(100*second, 0)},
		"process resumes from a pause at the deadline":  {submit(1*second, 7, "run"), dispatch(10*second, false), submit(11*second, 7, "answer "+lateAnswer)},
		"repeat is answered before the process resumes": {submit(1*second, 7, "run"), submit(10*second, 7, "answer "+lateAnswer), dispatch(10*second, false), finish(11*second, unknownLost, lateAnswer)},
		"earlier time does not allow a late dispatch":   {submit(1*second, 7, "run"), records(10*second, 1), dispatch(9*second, false)},
		"another payload":                               after(run, submit(3*second, 8, otherHash), finish(3*second, done, "done"), submit(4*second, 8, otherHash)),
		"full ledger":                                   {begin(1*second, ""), begin(2*second, "ticket overloaded notrun=true"), records(2*second, ledgerLimit), begin(100*second, "")},
		"running request keeps its record":              after(run, records(200*second, 1), submit(200*second, 7, "join"), finish(201*second, done, "done"), records(201*second, 0)),
		"oversize result":                               after(run, finish(3*second, Outcome{Kind: Done, Result: []byte("12345")}, "done"), submit(4*second, 7, "answer done (result dropped)"), finish(5*second, shed, "done (result dropped)")),
		"not run after done":                            after(run, finish(3*second, done, "done"), finish(4*second, shed, "done"), contradictions(1)),
		"done after not run":                            after(run, finish(3*second, shed, shedAnswer), finish(4*second, done, shedAnswer), contradictions(1)),
		"unknown after done":                            after(run, finish(3*second, done, "done"), finish(4*second, unknownLost, "done"), contradictions(0)),
		"late reply after unknown":                      after(run, finish(3*second, unknownLost, lost), finish(4*second, done, "done"), submit(5*second, 7, "answer done")),
		"late refusal after unknown":                    after(run, finish(3*second, unknownLost, lost), finish(4*second, shed, lost), contradictions(0)),
		"unknown before dispatch":                       {submit(1*second, 7, "run"), finish(2*second, unknownLost, "not run (connection-lost)"), dispatch(3*second, false)},
		"done before dispatch":                          {submit(1*second, 7, "run"), finish(2*second, done, "outcome unknown (internal)"), dispatch(3*second, false), finish(3*second, done, "outcome unknown (internal)"), contradictions(2)},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(Config{VM: "vm-1", Boot: 0xb1, Lifetime: 100 * second, MaxTickets: ledgerLimit, MaxResultBytes: resultLimit})
			ticket, _ := l.Begin(0)
			for i, s := range steps {
				assert.Equal(t, s.call(l, &ticket), s.want, "step %d", i)
			}
		})
	}
}

// Guards against a recorded result that changes with the receive buffer, against a
// first answer without the result because it is too large to be recorded, and
// against an unset lifetime that makes every ticket expire immediately.
func TestRecordedResults(t *testing.T) {
	for _, size := range []int{resultLimit, resultLimit + 1} {
		l, now := NewLedger(Config{VM: "vm-1", MaxTickets: 1, MaxResultBytes: resultLimit}), DefaultLifetime-1
		ticket, _ := l.Begin(0)
		assert.Equal(t, l.Submit(now, ticket, 7, DefaultLifetime).Kind, Run)
		assert.Assert(t, l.Dispatch(now, ticket))
		buffer := make([]byte, size)
		assert.Equal(t, len(l.Finish(now, ticket, Outcome{Kind: Done, Result: buffer}).Result), size)
		buffer[0] = 1
		repeat := l.Submit(now, ticket, 7, DefaultLifetime).Outcome
		want := Outcome{Kind: Done, Result: make([]byte, size)}
		if size > resultLimit {
			want = Outcome{Kind: Done, ResultDropped: true}
		}
		assert.DeepEqual(t, repeat, want)
	}
}

// Guards against equal hashes of requests that differ only in where one field ends.
func TestRequestHash(t *testing.T) {
	seen := map[uint64]bool{}
	for _, r := range [][3]string{{"ab", "c", "d"}, {"a", "bc", "d"}, {"a", "b", "cd"}, {"abc", "", "d"}} {
		seen[RequestHash(topology.ClassID(r[0]), topology.ShardID(r[1]), []byte(r[2]))] = true
	}
	assert.Equal(t, len(seen), 4)
}

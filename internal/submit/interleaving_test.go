package submit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ticketHistory records the calls and answers for one ticket.
type ticketHistory struct {
	ticket                                Ticket
	runs, dispatches                      int
	deadline                              time.Duration
	refused, answeredDone, answeredNotRun bool
}

// checkAnswer checks that an answer is consistent with all earlier answers and with
// the dispatches.
func (h *ticketHistory) checkAnswer(t *rapid.T, o Outcome) {
	h.answeredDone = h.answeredDone || o.Kind == Done
	h.answeredNotRun = h.answeredNotRun || o.Kind == NotRun
	switch {
	case h.answeredDone && h.answeredNotRun:
		t.Fatalf("%s: answered both done and not run", h.ticket)
	case h.answeredDone && h.dispatches == 0:
		t.Fatalf("%s: answered done, never dispatched", h.ticket)
	case h.answeredNotRun && h.dispatches > 0 && !h.refused:
		t.Fatalf("%s: answered not run, dispatched and not refused", h.ticket)
	}
}

// Guards against interleavings of repeats, pauses, finishes and expiries in which a
// request runs twice, runs after the answer "not run", or gets contradictory
// answers.
func TestInterleavings(t *testing.T) {
	const maxTickets = 4
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(Config{VM: "vm-1", Boot: 1, Lifetime: 20, MaxTickets: maxTickets, MaxResultBytes: 1})
		now := time.Duration(0)
		first, _ := l.Begin(now)
		issued := []*ticketHistory{{ticket: first}}
		draw := func(low, high int, label string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label))
		}
		// at returns the time that a call passes. It may be earlier than now, as
		// for a goroutine that read the clock and then waited for the ledger.
		at := func() time.Duration { return now - draw(0, 3, "stale") }
		pick := func() *ticketHistory { return rapid.SampledFrom(issued[max(0, len(issued)-6):]).Draw(t, "ticket") }
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(*rapid.T) { now += draw(1, 8, "time") },
			"expire":    func(*rapid.T) { l.Expire(at()) },
			"begin": func(*rapid.T) {
				if ticket, err := l.Begin(at()); err == nil {
					issued = append(issued, &ticketHistory{ticket: ticket})
				}
			},
			"submit": func(t *rapid.T) {
				h, deadline := pick(), now+draw(-1, 15, "deadline")
				d := l.Submit(at(), h.ticket, uint64(draw(1, 2, "hash")), deadline)
				switch d.Kind {
				case Answer:
					h.checkAnswer(t, d.Outcome)
				case Run:
					h.runs, h.deadline = h.runs+1, deadline
					if h.runs > 1 || h.answeredNotRun {
						t.Fatalf("%s: run %d, answered not run: %v", h.ticket, h.runs, h.answeredNotRun)
					}
				}
			},
			"submit guessed ticket": func(t *rapid.T) {
				guess := Ticket{VM: "vm-1", Boot: 1, Seq: uint64(len(issued) + 1), IssuedAt: now}
				if d := l.Submit(now, guess, 1, now+9); d.Kind != Reject || d.Err.NotRun {
					t.Fatalf("%s: %s", guess, d)
				}
			},
			"dispatch": func(t *rapid.T) {
				h, sendAt := pick(), at()
				if !l.Dispatch(sendAt, h.ticket) {
					return
				}
				h.dispatches++
				if h.dispatches > 1 || h.answeredNotRun || sendAt >= h.deadline {
					t.Fatalf("%s: dispatch %d at %v, answered not run: %v, %+v", h.ticket, h.dispatches, sendAt, h.answeredNotRun, h)
				}
			},
			"finish": func(t *rapid.T) {
				h := pick()
				kind := rapid.SampledFrom([]OutcomeKind{Unknown, NotRun, Done}).Draw(t, "kind")
				h.refused = h.refused || (kind == NotRun && h.dispatches > 0)
				h.checkAnswer(t, l.Finish(at(), h.ticket, Outcome{Kind: kind, Result: make([]byte, 2)}))
			},
			"": func(t *rapid.T) {
				if l.Len() > maxTickets {
					t.Fatalf("%d records", l.Len())
				}
			},
		})
	})
}

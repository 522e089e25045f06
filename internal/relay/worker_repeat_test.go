package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a repeat that runs although its original request is not in this
// worker, or belongs to another query or snapshot, and against one that is refused
// although its original request is queued.
func TestRepeatNeedsItsFirstRequest(t *testing.T) {
	old, current := topology.Snapshot{IndexVersion: 1}, topology.Snapshot{IndexVersion: 2}
	for name, tc := range map[string]struct {
		query    string
		snapshot topology.Snapshot
		held     bool
	}{
		"first request queued": {"q", current, true},
		"another query":        {"other", current, false},
		"another snapshot":     {"q", old, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorker(fakeLeases{})
			refused := false
			request := func(id uint64, query string, s topology.Snapshot, repeat bool) *leafRequest {
				return &leafRequest{
					id: id, snapshot: s, startBy: w.proc.Now() + w.runLimit,
					message: message.LeafRequest{RequestID: query, Repeat: repeat},
					answer:  func(*message.LeafReply) { refused = true },
				}
			}
			w.requests[1] = request(1, tc.query, tc.snapshot, false)
			w.queue.Step(w.proc.Now(), newAdd(w.requests[1]))
			w.handleRequest(t.Context(), request(2, "q", current, true))
			assert.Equal(t, refused, !tc.held)
			_, runs := w.running[2]
			assert.Assert(t, !runs)
		})
	}
}

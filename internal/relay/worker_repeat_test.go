package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a repeat that runs although its first request is not here, or
// is of another query or snapshot, and against one that is refused for nothing.
func TestRepeatNeedsItsFirstRequest(t *testing.T) {
	old, pinned := topology.Snapshot{IndexVersion: 1}, topology.Snapshot{IndexVersion: 2}
	for name, tc := range map[string]struct {
		query    string
		snapshot topology.Snapshot
		held     bool
	}{
		"first request queued": {"q", pinned, true},
		"another query":        {"other", pinned, false},
		"another snapshot":     {"q", old, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := testWorker(fakeLeases{})
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
			w.handleRequest(t.Context(), request(2, "q", pinned, true))
			assert.Equal(t, refused, !tc.held)
			_, runs := w.running[2]
			assert.Assert(t, !runs)
		})
	}
}

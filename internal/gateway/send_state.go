package gateway

import "sync/atomic"

// sendState records whether the request of an attempt was sent or withdrawn before that,
// and never both. The zero value is that of a request that waits for a connection. It is
// safe for concurrent use.
type sendState struct{ state atomic.Int32 }

// States of a request that no longer waits.
const (
	requestSent int32 = iota + 1
	requestWithdrawn
)

// begin records that the request is being sent, or returns false if it was withdrawn.
func (s *sendState) begin() bool { return s.state.CompareAndSwap(0, requestSent) }

// withdraw reports whether the request was not sent, and makes sure that it will not be.
func (s *sendState) withdraw() bool {
	return s.state.CompareAndSwap(0, requestWithdrawn) || s.state.Load() == requestWithdrawn
}

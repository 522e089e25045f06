// Package leafqueue decides which queued request a relay sends to a leaf next,
// and which requests it refuses. Only the relay that owns a leaf has a queue
// for it, so the order and the limit hold across all entries.
//
// A Queue does no I/O. The relay's worker for the leaf passes events to
// Queue.Step and performs the actions that it returns. A request may have a
// repeat: a second attempt at the same leaf, dispatched only once the original
// has been running for long.
package leafqueue

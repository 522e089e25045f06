// Package leafqueue decides which queued request a relay sends to one leaf
// next, and which it refuses. The queue for a leaf exists only in its owner
// relay, so its order and its limit hold for all entries together.
package leafqueue

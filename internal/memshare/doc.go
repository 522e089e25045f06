// Package memshare decides which route may keep more bytes of leaves' replies.
//
// Load pattern: leaves of one route send replies without an end, or far longer ones than
// usual, to many callers at a time. Each reply is within its limit, and together they take
// more memory than the VM has. A common limit alone would let them take all of it, so that
// replies of sound leaves are refused.
//
// Half of the memory is divided among the routes, each of which can always take its part. Of
// the other half, a route may have as much as is left for others: one route at most half of
// it, two a third each.
//
// It does the same for connections of callers, whose requests hold one each.
//
// The package has no clock, no I/O, no locks and no goroutines.
package memshare

// Package gateway implements one VM on a platform whose callers and leaves
// speak plain HTTP/1.1. It does the I/O, reads the clock, passes events to the
// decision packages directory, fleet, placement, extraload and query, and
// executes their decisions.
//
// One goroutine follows each kind of object in the store, one handles each
// caller's request and one each request to a leaf. The decision packages share
// one lock, which is never held during I/O.
package gateway

// Package gateway is the shell of one VM on a platform whose callers and leaves
// speak plain HTTP/1.1. It reads sockets and clocks, feeds the decisions of
// packages directory, fleet, placement, extraload and query, and carries them
// out.
//
// One goroutine follows each kind of object in the store, one serves each
// caller's request and one each request to a leaf. Decisions share one lock,
// which is never held over I/O.
package gateway

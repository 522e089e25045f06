// Package submit decides whether a non-idempotent request may run, so that it runs
// at most once. A Ledger records the tickets of one boot of one entry process.
//
// A caller gets a Ticket from Begin and sends it with each attempt of one request.
// When Submit returns Run for a ticket, its caller must call, in this order:
//
//   - Dispatch, right before it sends the request towards a leaf; it sends the
//     request only if Dispatch returns true;
//   - Finish, exactly once and in any case, even if Dispatch returned false. The
//     record of a request without Finish is never freed.
//
// One Dispatch covers the whole request. The request may be moved to another relay
// only while it is certain that no leaf has received a byte of it.
//
// The package has no clock, I/O or goroutines. A Ledger is not safe for concurrent
// use; its owner serializes the calls.
package submit

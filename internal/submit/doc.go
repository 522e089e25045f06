// Package submit decides whether a non-idempotent request may run. A Ledger is
// the at-most-once record of one boot of one entry process.
//
// A caller gets a Ticket from Begin and sends it with each attempt of one
// request. For a ticket that the ledger answers with Run, the holder of that
// answer calls, in this order:
//
//   - Dispatch, right before it sends the request towards a leaf, and sends it
//     only when Dispatch returns true;
//   - Finish, exactly once and whatever happened, also after a Dispatch that
//     returned false. The place of a request without Finish is never freed.
//
// One Dispatch covers the whole request. The holder may move the request to
// another relay only while it knows that no leaf has received a byte of it.
//
// The package has no clock, I/O or goroutines. A Ledger is not safe for
// concurrent use; its owner serialises the calls.
package submit

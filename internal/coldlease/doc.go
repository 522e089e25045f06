// Package coldlease decides which relay of an availability zone may send
// requests to a cold leaf. The right is a lease that every other VM of the zone
// has acknowledged; section 4.2 of the design page gives the rules and why they
// are safe.
//
// One Machine serves all leaves of a relay. Its safety depends on the shell:
//
//   - Before a request for a leaf that needs the lease is written, the shell
//     calls Held and Step(LeafRequestDispatched) in one go, in the goroutine that owns the
//     machine.
//   - The start-by that it passes to the leaf is at most the time that Held
//     returned. To turn it into wall time it reads the wall clock first and the
//     monotonic clock second, so that a pause between the two makes the result
//     earlier, not later. The leaf must compare it with its own wall clock; a
//     duration counted from the receipt does not cover a pause before the write.
//   - Step(LeafRequestFinished) follows when the leaf has replied or has refused the request.
//     For a request without an answer it follows at FinishedBy, since a lost
//     connection does not end the request in the leaf.
//   - LeafRequestDispatched and LeafRequestFinished are passed for all requests, also while the leaf is
//     warm, because it may turn cold while they run.
//   - The VM list is never older than one that an earlier boot on the same VM
//     has used.
package coldlease

// Package coldlease decides which relay of an availability zone may send
// requests to a cold leaf. The permission is a lease that every other VM of the
// zone has acknowledged; section 4.2 of the design page gives the numbered rules
// that comments refer to, and the reasons why they are safe.
//
// One Machine manages the leases of all leaves of a relay. It has no clock and
// no I/O: the caller, the shell, passes events to Step, performs the returned
// actions and has to observe these rules:
//
//   - Before it writes a request to a leaf that needs the lease, the shell calls
//     Held and Step(LeafRequestDispatched) without another event in between, in
//     the goroutine that owns the machine.
//   - The start-by time that it sends with the request is at most the time that
//     Held returned. To convert it to wall time, the shell reads the wall clock
//     first and the monotonic clock second, so that a pause between the two
//     makes the result earlier, not later. The leaf has to compare the start-by
//     time with its own wall clock; a duration counted from the receipt would
//     not cover a pause before the write.
//   - Step(LeafRequestFinished) follows when the leaf has replied or has refused
//     the request. For a request without a reply it follows at FinishedBy, since
//     the leaf keeps running a request whose connection is lost.
//   - LeafRequestDispatched and LeafRequestFinished are passed for all requests,
//     also while the leaf is warm, because it may turn cold while they run.
//   - The VM list is never older than one that an earlier boot on the same VM
//     has used.
package coldlease

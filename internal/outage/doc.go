// Package outage decides whether the platform's store was away, from what this VM's own
// calls and the other VMs tell of it.
//
// Entries of running leaves may lapse while the store is away, and are written again within
// about two seconds of its return. A leaf whose entry is missing then must stay in use for
// that time. After any other failure it must not: the leaf has left. A failed call can have
// many causes, so it takes evidence from more than one call:
//   - The store was up whenever it answered any VM. VMs state with each answer to each other how
//     long ago it last did.
//   - A watch that is cut, or a call that is refused once, says nothing of the time after it.
//   - Another VM whose own calls fail confirms an outage, one whose calls are answered refutes
//     it.
//
// A Detector is passed calls, statements and the monotonic time. It has no clock, does no I/O
// and starts no goroutines.
package outage

// Package directory holds the state that a VM derives from the platform's store:
// the active configuration, the registered leaves, the evacuated zones and the
// members, which are the VMs of the system.
//
// It tolerates three faults of the store:
//   - A version of the configuration may arrive late or twice. The active version
//     never decreases.
//   - Entries of running leaves may expire while the store is unavailable. A leaf
//     whose entry is missing after an outage stays in use for a grace period. Package
//     outage decides what an outage is; how many entries are missing says nothing.
//   - The history of changes may be lost. A listing replaces all state of its kind.
//
// Its methods are passed events and the monotonic time. A Directory has no clock,
// does no I/O and starts no goroutines.
package directory

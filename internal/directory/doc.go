// Package directory decides what is in force on a VM from what the platform's
// store says: the configuration, the registered leaves, the evacuated zones and
// the members, that is, the VMs of the system.
//
// It answers three patterns. A version of the configuration may arrive late or
// twice: the one in force only rises. The store may be away while entries of
// living leaves lapse: a leaf that is missing after an outage stays in use until
// returnGrace after the store came back. History may be lost: a listing replaces
// everything that was known of its kind.
//
// A Directory takes events and the monotonic time. It has no clock, no I/O and
// no goroutines.
package directory

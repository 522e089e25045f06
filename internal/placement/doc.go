// Package placement decides which leaf of a service a request goes to.
//
// It answers these load patterns: leaves that pause for a moment or turn slow
// (a leaf whose oldest request is overdue is suspect for all requests of this
// VM); leaves of different speed and distance (expected time by zone and by
// leaf); leaves whose queue grows (the load that replies state, and requests in
// flight); leaves that fail part of their requests or cannot be reached (a
// failure rate, and a pause before the next trial); and cold leaves, which bear
// a stated rate from all VMs together.
//
// A Table takes the monotonic time with each call. It has no clock, no I/O and
// no goroutines.
package placement

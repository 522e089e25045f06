// Package placement selects the leaf of a service that a request is sent to.
//
// It handles these load patterns:
//   - Leaves that pause briefly or become slow: a leaf whose oldest request is
//     overdue is suspect for all requests of this VM.
//   - Leaves of different speed and distance: the expected time depends on the
//     zone and on the leaf.
//   - Leaves with a growing queue: the cost of a leaf includes the load that it
//     reports in replies and the requests in flight.
//   - Leaves that fail some requests or are unreachable: a failure rate is kept,
//     and a backoff precedes the next attempt.
//   - Cold leaves: the rate of requests from all VMs together is limited.
//
// Each call that depends on the time is passed the monotonic time. A Table has no
// clock, does no I/O and starts no goroutines.
package placement

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
//   - Leaves in need, which state how many requests they take from all VMs, refuse a
//     request and want none for some time, or are about to stop.
//
// Every send is asked for twice, when its leaf is chosen (Table.Choices) and when it is
// begun (Table.Usable, Table.Begin), and a third time if it has waited for a connection
// (Table.Admit). A leaf is refused by the first of these that applies:
//  1. it is leaving or replaced by another one at its address, or its zone is evacuated;
//  2. its zone is unreachable, or its backoff after failed connections lasts;
//  3. it is cold, and this VM's share of its warm-up rate is used up;
//  4. it states that it is leaving;
//  5. it rests, or has rested and has not answered the first request since;
//  6. it states a limit, and this VM's share is used up or a connection is not free.
//
// This VM's share of a leaf's connections limits what is sent at a time; further requests
// wait for it in the pool.
//
// Each call that depends on the time is passed the monotonic time. A Table has no
// clock, does no I/O and starts no goroutines.
package placement

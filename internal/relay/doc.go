// Package relay is the shell of medlar-relay: it performs the I/O of the decision
// packages. It owns the connections to the leaves of its availability zone for
// which it ranks first or second, and sends them the leaf requests of entries.
//
// Each leaf has one goroutine (leafWorker) that owns the leaf's queue, warm-up
// state and use of the lease. All its inputs arrive through one bounded channel.
package relay

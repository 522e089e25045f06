// Package relay is the I/O shell of medlar-relay. It owns the connections to
// the leaves of its availability zone for which it ranks first or second, and
// runs leaf requests that entries send.
//
// Each leaf has one goroutine (leafWorker) that holds the leaf's decisions:
// queue, warm-up and lease. All inputs reach it through one bounded channel.
package relay

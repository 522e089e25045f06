// Package agent implements the I/O of medlar-agent. It holds the configuration of
// its VM, distributes it together with the other agents (package confsync), reads
// the platform's VM list, and forwards loss reports between VMs.
//
// One goroutine (configLoop) owns the confsync machine; watches, reads, checks
// and fetches run in separate goroutines and send their results to it over a
// bounded channel.
package agent

// Package agent is the I/O shell of medlar-agent. It holds the configuration
// of its VM, takes part in spreading it (package confsync), reads the
// platform's VM list, and passes facts on between VMs.
//
// One goroutine (configLoop) owns the confsync machine; watches, reads, checks
// and fetches run in goroutines of their own and report to it over a bounded
// channel.
package agent

// Package quarantine finds requests that crash upstreams and blocks them.
//
// A crash-like loss is a connection that is reset, or an upstream that
// restarts, while a request runs. Each loss is recorded under the fingerprint
// of its request and is active for LossTTL. Once LossThreshold losses are
// active at the same time, the fingerprint is blocked until LossTTL after the
// latest of them.
//
// With Config.RepliesClear, a process that sees only that an upstream ended, and not
// which of its requests ended it, counts losses that followed each other without a reply
// between them: a request that crashes each upstream gets no reply, and others get one.
//
// Every loss is reported to all VMs. It has an origin and a sequence number, so
// that a report that arrives twice, or that comes back from another VM, changes
// nothing. Reports carry the remaining time, and a loss is remembered for
// LossTTL after it expires. A delayed report of an expired loss is then
// ignored; otherwise it would become active again and circulate forever.
//
// Memory is bounded. Fingerprints are seen once an upstream has replied. Since
// any caller can create them, they have a table of their own and never displace
// a loss. Each loss requires a crash. A full table first evicts expired losses,
// then the fingerprints that are not blocked, and never a blocked one. If all
// are blocked, a further fingerprint is not stored, and its loss only makes its
// class suspect.
package quarantine

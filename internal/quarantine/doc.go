// Package quarantine finds requests that crash upstreams and keeps them away.
//
// A crash-like loss is counted by the fingerprint of its request. When enough
// losses are alive at the same time, the fingerprint is blocked until Hold
// after the latest of them. Losses are spread as facts; each has an origin and
// a sequence number, so that a fact that arrives twice, or comes back from
// another VM, changes nothing. Facts carry remaining time and are remembered
// for Hold after they end: a delayed echo of an ended loss is then ignored, as
// it would otherwise start anew and circulate without end.
//
// Memory is bounded. Seen fingerprints, which any caller can create, have
// their own table and never displace a loss. Losses need a crash each; a full
// table gives up ended losses first, then fingerprints that are not blocked,
// and never a blocked one. When all are blocked, a further fingerprint is not
// stored and only makes its class suspect.
package quarantine

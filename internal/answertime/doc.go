// Package answertime decides when a query answers without waiting for its last
// shards.
//
// An answer is worth most within the route's latency target, counted from the
// caller's first attempt. A caller that retries after a refusal, or whose
// connection was slow, has used up part of the target before its request arrives.
// The remaining time that its request states shows how much, and the query answers
// that much earlier.
//
// An Estimator uses only the times that callers state. It has no clock, no I/O and
// no goroutines.
package answertime

// Package answertime decides when a query answers without its last shards.
//
// An answer is worth most within the route's latency target, counted from the
// caller's first attempt. It answers the load pattern of callers that come back
// after a refusal, or whose connection took long: what is left of their time says
// how much of the target has passed, and their answer must leave earlier.
//
// An Estimator takes what callers say. It has no clock, no I/O and no goroutines.
package answertime

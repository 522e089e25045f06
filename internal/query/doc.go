// Package query implements the state machine of one query over many shards. It
// decides on the canary, the fan-out, hedges, retries and moves, which replies to
// merge, when to restart on a newer snapshot, and which coverage to report. It
// treats the query as idempotent unless Params.AtMostOnce is set.
//
// A Machine receives events with the monotonic time and returns actions. It has
// no clock, no I/O and no goroutines: the code that drives it, the shell, performs
// the actions and delivers their results as events.
package query

// Package panics contains a panic to the work that caused it.
//
// An unexpected error while one message or request is handled must not take down the
// process with all other requests. A panic while shared state was being changed may
// have left that state half changed, and no later decision can be relied on; then the
// process has to stop.
package panics

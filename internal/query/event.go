package query

// Event is an input of a Machine: Reply, Failed, Retired, Timer, CallerGone or
// Replanned.
type Event interface{ isEvent() }

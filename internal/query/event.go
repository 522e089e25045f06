package query

// Event is an input of a Machine: Reply, Failed, VersionRetired, Timer,
// CallerGone, Stopping or Replanned.
type Event interface{ isEvent() }

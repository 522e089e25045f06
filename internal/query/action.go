package query

// Action is an output of a Machine: Send, Abort, Merge, Discard, Replan, WakeAt
// or Finish.
type Action interface{ isAction() }

package leafqueue

// Action is an output of Queue.Step.
type Action interface{ action() }

// Package pause detects that the process was paused, and refuses new work
// after a pause until the agent has confirmed the configuration: it may have
// changed meanwhile.
package pause

// Package pause detects that the process was paused. After a pause it refuses
// new work until the agent has confirmed the configuration, which may have
// changed during the pause.
package pause

// Package timeline records typed events with a hybrid logical clock, so that
// the events of all processes can be merged into one order in which a cause
// never comes after its effect.
package timeline

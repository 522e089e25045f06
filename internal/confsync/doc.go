// Package confsync implements the gossip protocol by which agents distribute
// accepted configurations, as a state machine without clock, I/O or goroutines:
// the agent passes events to Step and executes the returned actions.
//
// Agents announce their generation in small heartbeats. Only an agent with a
// lower generation requests the manifest, and then fetches the sections that
// changed, so that each VM receives a manifest and a section about once.
package confsync

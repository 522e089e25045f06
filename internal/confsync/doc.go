// Package confsync decides how one agent takes part in spreading accepted
// configurations. It has no clock, I/O or goroutines: the agent feeds events
// to Step and carries out the actions.
//
// Generations spread as small heartbeats. Only an agent that lacks a
// generation asks for its manifest, and then fetches the sections that
// changed, so that each VM receives a manifest and a section about once.
package confsync

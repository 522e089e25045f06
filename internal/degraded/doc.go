// Package degraded decides when a state that limits the service is reported.
//
// It is for deployments that nobody watches: a shard that loses its last leaf at night
// must be found in the morning, with the time since when it is missing. A state is
// reported once when it has lasted, and once when it ends; states that flap, as during
// a rolling replacement, are not reported.
package degraded

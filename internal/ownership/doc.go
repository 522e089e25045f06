// Package ownership ranks the relays of an availability zone for each leaf by
// rendezvous hashing. When a VM joins or leaves, only the leaves that it gains
// or loses change their rank-1 relay.
package ownership

// Package ownership assigns the leaves of an availability zone to its relays by
// rendezvous hashing. It ranks the relays for each leaf. When a VM joins or
// leaves, only the leaves that it gains or loses change their rank-1 relay.
package ownership

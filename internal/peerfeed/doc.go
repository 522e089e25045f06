// Package peerfeed transfers listings and watches of the store's objects
// between VMs, in frames. A Hub serves other VMs from the copies of this one; a
// Client reads from other VMs. Both also exchange findings about slow leaves.
package peerfeed

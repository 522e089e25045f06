// Package peerfeed carries listings and watches of the store's objects between
// VMs, in frames. A Hub answers other VMs from the copies of this one; a Client
// asks another VM.
package peerfeed

// Package objectfeed holds copies of the store's objects, from which a VM serves
// the listings and watches of other VMs.
//
// If each VM of a fleet watched the store, the calls would exceed the store's limits:
// it counts each call, and the rates that it allows grow more slowly than the fleet.
// Positions are those of the store, so a reader may continue at another VM or at the
// store from the revision that it has.
package objectfeed

// Package objectfeed holds copies of the store's objects, so that a VM can
// answer the listings and watches of others from what it has read itself.
//
// It answers a fleet in which each VM would watch the store: the store counts
// each call, and its rates grow more slowly than the fleet. Revisions are the
// store's own, so a reader may go on at another VM or at the store with the
// revision that it has.
package objectfeed

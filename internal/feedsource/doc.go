// Package feedsource decides from where a VM reads the store's objects: from the
// store itself or from another VM that does.
//
// A few VMs, the seeds that every VM's settings name, read the store; the others
// read from them. It answers these patterns: a large fleet on a store that counts
// calls; a store that turns some VMs away, which then read from a seed; seeds
// that are down, stale or cut off, when a VM reads the store itself; and a first
// start of all VMs at once, when the seeds have nothing to give yet.
package feedsource

// Package feedsource selects the source from which a VM reads the store's objects:
// the store itself or another VM.
//
// A few VMs, the seeds, read the store, and the others read from them. The settings
// of every VM list the seeds. The package is for these situations:
//   - In a large fleet, the store limits the rate of calls.
//   - A seed that the store refuses reads from another seed.
//   - If the seeds are down, stale or unreachable, a VM reads the store itself.
//   - When many VMs start at once, the seeds have no data yet and the others wait
//     for them, with pauses between their attempts.
//   - In a zone with aggregators, these read from the seeds and the other VMs from
//     them, so that a change crosses between zones once for a zone.
package feedsource

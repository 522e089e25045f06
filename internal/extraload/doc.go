// Package extraload limits the extra requests that hedges and retries send to the
// leaves of a service.
//
// In any window, all VMs together may send a service extra requests up to a ratio
// of its requests plus a slack. Without this bound, every request of every VM would
// go to a second leaf at once when a service fails or is slow. Each VM may spend the
// ratio of its own requests and its share of the slack, so that the VMs keep the
// bound without exchanging messages. The shares are equal, unless some VMs run the
// queries of others; these aggregators then get most of the slack.
package extraload

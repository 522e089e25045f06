// Package extraload decides whether a request may be sent to a further leaf.
//
// All VMs together may send a service, in any window, a ratio of its requests
// plus a slack. It answers a failing or slow service, at which every request of
// every VM would ask for a second leaf at once. Each VM has the ratio of its own
// requests and a part of the slack, so that the parts add up to the bound without a
// message between VMs. The parts are equal, but where some VMs run the queries of
// others those have most of it.
package extraload

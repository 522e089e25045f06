// Package leafspeed caches the findings of VMs about slow leaves and about leaves that
// state a limit, so that a VM can avoid a leaf because of what another VM has found out.
//
// In a large fleet each VM sends a leaf only one request every few seconds. When
// leaves of many shards become slow, a VM alone would not detect them before they
// have recovered. A VM without a share of a leaf's limit sends it nothing, and learns from
// the others when the limit ends.
//
// Each call on a Cache is passed the monotonic time. A Cache has no clock, does no
// I/O and starts no goroutines.
package leafspeed

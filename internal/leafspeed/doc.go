// Package leafspeed caches the findings of VMs about slow leaves, so that a VM can
// avoid a slow leaf that another VM has detected.
//
// In a large fleet each VM sends a leaf only one request every few seconds. When
// leaves of many shards become slow, a VM alone would not detect them before they
// have recovered.
//
// Each call on a Cache is passed the monotonic time. A Cache has no clock, does no
// I/O and starts no goroutines.
package leafspeed

// Package leafspeed holds what VMs have found out about slow leaves, so that one
// VM's stragglers save the others theirs.
//
// It answers a large fleet in which each VM sends a leaf a request only each few
// seconds: when leaves of many shards turn slow, no VM would find out about them
// by itself before they have recovered.
//
// A Board takes the monotonic time with each call. It has no clock, no I/O and no
// goroutines.
package leafspeed

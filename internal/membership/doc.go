// Package membership merges the platform's list of VMs with what peers report
// into one view: the list says which VMs exist, the reports say which of them
// answer. It has no clock and no I/O.
package membership

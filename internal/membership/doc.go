// Package membership combines the platform's list of VMs with the messages that
// peers send into one view: the list defines which VMs exist, and the messages
// show which of them are running. It has no clock and no I/O.
package membership

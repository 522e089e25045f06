// Package message defines the bodies of the messages between the system's own
// processes. Times are durations relative to the moment of sending, because
// the clocks of different VMs are never compared.
package message

package message

import "time"

// Heartbeat is what agents exchange; see confsync.SendHeartbeat for the fields
// about the configuration.
type Heartbeat struct {
	Generation uint64        `msgpack:"g"`
	StoreAge   time.Duration `msgpack:"s"`
	Request    uint8         `msgpack:"a"`
	// VMVersion is the version of the VM list that the sender holds. A peer
	// that holds a higher one sends it.
	VMVersion uint64 `msgpack:"v"`
}

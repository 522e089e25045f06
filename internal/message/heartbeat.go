package message

import "time"

// Heartbeat is exchanged periodically between agents. confsync.SendHeartbeat
// and confsync.HeartbeatReceived describe the configuration fields.
type Heartbeat struct {
	Generation uint64        `msgpack:"g"`
	StoreAge   time.Duration `msgpack:"s"`
	Request    uint8         `msgpack:"a"`
	// VMVersion is the version of the sender's VM list. A peer with a higher
	// version sends its list in return.
	VMVersion uint64 `msgpack:"v"`
}

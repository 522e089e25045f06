package confsync

// ReplyRequest tells what the sender of a heartbeat wants back.
type ReplyRequest uint8

// What a heartbeat asks for. A peer with a higher generation answers in any
// case.
const (
	RequestNothing ReplyRequest = iota
	// RequestHeartbeat asks for a heartbeat.
	RequestHeartbeat
	// RequestManifest asks for the manifest if its generation is higher.
	RequestManifest
)

package confsync

// ReplyRequest is the reply that the sender of a heartbeat requests.
type ReplyRequest uint8

// Replies that a heartbeat can request. A peer with a higher complete generation
// replies with a heartbeat even to RequestNothing.
const (
	RequestNothing ReplyRequest = iota
	// RequestHeartbeat requests a heartbeat.
	RequestHeartbeat
	// RequestManifest requests the manifest if its generation is higher, and a
	// heartbeat otherwise.
	RequestManifest
)

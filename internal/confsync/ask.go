package confsync

// Ask tells what the sender of a heartbeat wants back.
type Ask uint8

// What a heartbeat asks for. A peer with a higher generation answers in any
// case.
const (
	AskNothing Ask = iota
	// AskHeartbeat asks for a heartbeat.
	AskHeartbeat
	// AskManifest asks for the manifest if its generation is higher.
	AskManifest
)

package timeline

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	KindStarted         Kind = "started"
	KindStopped         Kind = "stopped"
	KindEditAccepted    Kind = "edit-accepted"
	KindConfigActive    Kind = "in-force"
	KindZoneOut         Kind = "zone-out"
	KindZoneIn          Kind = "zone-in"
	KindWarmup          Kind = "warm-up"
	KindLease           Kind = "lease"
	KindQueryStart      Kind = "query-start"
	KindQueryDone       Kind = "query-done"
	KindLeafSend        Kind = "leaf-send"
	KindLeafReply       Kind = "leaf-reply"
	KindLeafFailed      Kind = "leaf-failed"
	KindHedge           Kind = "hedge"
	KindRetry           Kind = "retry"
	KindSnapshotRestart Kind = "snapshot-restart"
	KindRefusal         Kind = "refusal"
	KindQuarantine      Kind = "quarantine"
	KindSubmitStart     Kind = "submit-start"
	KindSubmitDone      Kind = "submit-done"
	KindSubmitForward   Kind = "submit-forward"
	KindUpstreamLeaving Kind = "upstream-leaving"
	KindDrain           Kind = "drain"
)

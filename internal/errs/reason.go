package errs

// Reason is a machine-readable cause of a refusal or failure. It appears in
// answers as the reason for a missing shard and in metrics.
type Reason string

// Reasons that the query tier reports.
const (
	ReasonInternal         Reason = "internal"
	ReasonInvalid          Reason = "invalid-request"
	ReasonNoConfig         Reason = "no-configuration"
	ReasonNoLeaf           Reason = "no-leaf-available"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline-exceeded"
	ReasonStartBy          Reason = "start-by-exceeded"
	ReasonZoneOut          Reason = "zone-out"
	ReasonLeaving          Reason = "upstream-leaving"
	ReasonCold             Reason = "upstream-cold"
	ReasonNotOwner         Reason = "not-owner"
	ReasonDown             Reason = "upstream-down"
	ReasonShed             Reason = "upstream-shed"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonVersionRetired   Reason = "version-retired"
	ReasonSnapshotMismatch Reason = "snapshot-mismatch"
	ReasonQuarantined      Reason = "quarantined"
	ReasonDraining         Reason = "draining"
	ReasonCancelled        Reason = "cancelled"
	ReasonIssuerGone       Reason = "issuer-gone"
	ReasonTicketExpired    Reason = "ticket-expired"
	ReasonCrashed          Reason = "upstream-crashed"
	// ReasonNoReply: the leaf runs a request without replying, and has not
	// replied to the one before it.
	ReasonNoReply Reason = "upstream-no-reply"
	ReasonPaused  Reason = "paused"
)

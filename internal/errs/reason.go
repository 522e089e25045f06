package errs

// Reason is a machine-readable cause of a refusal or failure. It appears in metrics
// and, as the reason for a missing shard, in answers.
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
	// ReasonNoReply means that the leaf is running a request without replying and
	// did not reply to the request before it either.
	ReasonNoReply Reason = "upstream-no-reply"
	ReasonPaused  Reason = "paused"
	// ReasonLimited means that the leaves state how many requests they take, and that this
	// VM's share of that is used up.
	ReasonLimited Reason = "upstream-limited"
	// ReasonResting means that the leaves have refused a request and want none from this
	// VM for some time.
	ReasonResting Reason = "upstream-resting"
	// ReasonTooLong means that a leaf's reply is longer than its limit, or that the replies of
	// its route take too much memory.
	ReasonTooLong Reason = "reply-too-long"
)

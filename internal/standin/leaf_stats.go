package standin

// LeafStats holds the counters of a leaf since its creation, across all its boots.
// Field names without a tag are the keys in the JSON of the control endpoint.
type LeafStats struct {
	ID string
	// Searches and Executions count the requests that started to run.
	Searches   uint64
	Executions uint64
	// RepeatedRuns counts starts of a non-idempotent request that this leaf had
	// already started before.
	RepeatedRuns uint64 `json:"Doubled"`
	// Shed counts refusals because the queue was full.
	Shed uint64
	// LateStarts counts refusals because the start-by time had passed.
	LateStarts uint64
	// LeavingRefused counts refusals because the leaf was leaving, and
	// LastRefusedUnixMS is the time of the latest one.
	LeavingRefused    uint64
	LastRefusedUnixMS int64
	Crashes           uint64
	// ColdOverloads counts requests that started in a cold leaf beside another
	// one. A cold leaf must run only 1 request at a time.
	ColdOverloads uint64
	Cancelled     uint64
	BootID        uint64
	Warm          bool
	// LastWorkUnixMS is the time at which the latest request started to run.
	LastWorkUnixMS int64
	// MaxConnections is the largest number of connections open at a time.
	MaxConnections int
	// Refused counts connections above the limit, which were closed.
	Refused uint64
}

package standin

// LeafStats is what a leaf counted since it was created, over all its boots.
type LeafStats struct {
	ID string
	// Searches and Executions count requests that started to run.
	Searches   uint64
	Executions uint64
	// RepeatedRuns counts non-idempotent requests that ran more than once here.
	RepeatedRuns uint64 `json:"Doubled"`
	Shed         uint64
	// LateStarts counts refusals because of the start-by time.
	LateStarts uint64
	// LeavingRefused counts refusals because the leaf leaves, and
	// LastRefusedUnixMS is when the latest one was.
	LeavingRefused    uint64
	LastRefusedUnixMS int64
	Crashes           uint64
	// ColdOverloads counts requests beyond the one that a cold leaf bears.
	ColdOverloads uint64
	Cancelled     uint64
	BootID        uint64
	Warm          bool
	// LastWorkUnixMS is when the latest request started to run.
	LastWorkUnixMS int64
	MaxConnections int
	Refused        uint64
}

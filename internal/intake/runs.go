package intake

// wideReserve is the part of the leaf requests that queries to many shards leave for requests to
// one leaf, as a divisor.
const wideReserve = 8

// Runs decides whether a request may run besides the others, by the connections to leaves that they
// may need.
//
// Load pattern: many queries to many shards wait for slow leaves. Each shard needs a connection, and
// together they need more descriptors than the VM has, so that requests to sound leaves find none.
//
// It is not safe for concurrent use.
type Runs struct {
	limit, running int
}

// NewRuns returns a Runs that allows limit leaf requests at a time.
func NewRuns(limit int) *Runs { return &Runs{limit: limit} }

// Begin counts a request to the given number of shards and returns true, or returns false if it may
// not run. One that is alone always may.
func (r *Runs) Begin(shards int) bool {
	limit := r.limit
	if shards > 1 {
		limit -= r.limit / wideReserve
	}
	if r.running > 0 && r.running+shards > limit {
		return false
	}
	r.running += shards
	return true
}

// End returns what Begin has counted.
func (r *Runs) End(shards int) { r.running -= shards }

package warmup

// Probed says how a probe of a leaf that is down ended. A probe asks the leaf
// for a report and runs no request. The shell runs one probe at a time.
type Probed struct {
	OK   bool
	Boot uint64
}

func (Probed) event() {}

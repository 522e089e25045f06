package warmup

// Probed reports the result of a probe. A probe reads the leaf's report and runs
// no request. The relay runs one probe per leaf at a time.
type Probed struct {
	OK   bool
	Boot uint64
	// ClosedCount is the number of connections that the leaf had closed when
	// the probe began.
	ClosedCount uint64
}

func (Probed) event() {}

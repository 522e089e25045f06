package warmup

// Report is a status report of the leaf. If the relay learned from another
// source that the leaf is leaving, it passes a Report with Leaving set and Boot
// 0.
type Report struct {
	Boot uint64
	// Load is the share of the leaf's capacity in use, from 0 to 1.
	Load    float64
	Leaving bool
}

func (Report) event() {}

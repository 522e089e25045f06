package warmup

// Report is what the leaf says of itself. A Leaving that was learned from
// elsewhere is passed as a report with Boot 0.
type Report struct {
	Boot uint64
	// Load is the share of the leaf's capacity in use, 0 to 1.
	Load    float64
	Leaving bool
}

func (Report) event() {}

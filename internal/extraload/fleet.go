package extraload

// Fleet is among whom the slack is divided.
type Fleet struct {
	// Members is the number of VMs; 0 means unknown.
	Members int
	// Aggregators of them run the queries of others, and Aggregator tells whether
	// this VM does.
	Aggregators  int
	IsAggregator bool
}

// slack returns this VM's part of a slack. Aggregators share aggregatorPart of it
// and the others the rest; without aggregators all have an equal part.
func (f Fleet) slack(all float64) float64 {
	sharers := f.Members
	switch {
	case f.Members == 0:
		return soloSlack
	case f.Aggregators > 0 && f.IsAggregator:
		all, sharers = aggregatorPart*all, f.Aggregators
	case f.Aggregators > 0:
		all, sharers = (1-aggregatorPart)*all, f.Members-f.Aggregators
	}
	return max(all/float64(sharers+joiningMembers), soloSlack)
}

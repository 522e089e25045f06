package extraload

// Fleet describes the VMs that share the slack.
type Fleet struct {
	// Members is the number of VMs; 0 means unknown.
	Members int
	// Aggregators is the number of VMs that run the queries of others; IsAggregator
	// reports whether this VM is one of them.
	Aggregators  int
	IsAggregator bool
}

// slackShare returns this VM's share of the slack. Aggregators share
// aggregatorFraction of it and the other VMs the rest; without aggregators all
// shares are equal.
func (f Fleet) slackShare(slack float64) float64 {
	sharers := f.Members
	switch {
	case f.Members == 0:
		return minSlack
	case f.Aggregators > 0 && f.IsAggregator:
		slack, sharers = aggregatorFraction*slack, f.Aggregators
	case f.Aggregators > 0:
		slack, sharers = (1-aggregatorFraction)*slack, f.Members-f.Aggregators
	}
	return max(slack/float64(sharers+joiningMembers), minSlack)
}

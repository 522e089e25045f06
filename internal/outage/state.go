package outage

import "time"

// State is what a VM tells other VMs about the store. Times are relative, since VMs share no
// clock.
type State struct {
	// Calls is true if the VM has called the store itself lately. Silent is the time since the
	// store last answered it; Failing is true if a call has failed since then.
	Calls   bool          `msgpack:"c,omitempty"`
	Silent  time.Duration `msgpack:"s,omitempty"`
	Failing bool          `msgpack:"f,omitempty"`
	// Others is true if another VM has stated lately that the store answers it, which it last
	// did OthersSilent ago. What a VM has only heard of others is not stated again, since each
	// statement takes time.
	Others       bool          `msgpack:"o,omitempty"`
	OthersSilent time.Duration `msgpack:"t,omitempty"`
	// Away is how many VMs see an outage that has not ended: 0 if there is none or it is only
	// suspected, 2 for two or more.
	Away uint8 `msgpack:"a,omitempty"`
	// GraceLeft is the rest of the grace period after the last outage, 0 if there is none;
	// Lasted is how long the store was silent before it.
	GraceLeft time.Duration `msgpack:"g,omitempty"`
	Lasted    time.Duration `msgpack:"l,omitempty"`
	// Seen is how many VMs have seen that outage, as in Away.
	Seen uint8 `msgpack:"n,omitempty"`
}

// Delayed returns a state that has been under way for a time.
func (s State) Delayed(d time.Duration) State {
	if s.Calls {
		s.Silent += d
	}
	if s.Others {
		s.OthersSilent += d
	}
	s.GraceLeft = max(s.GraceLeft-d, 0)
	return s
}

package query

import "time"

// WakeAt requests a Timer event at the given time. It replaces the previous
// WakeAt.
type WakeAt struct{ At time.Duration }

func (WakeAt) isAction() {}

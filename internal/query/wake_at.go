package query

import "time"

// WakeAt asks for a Timer event at a time. It replaces the one asked for
// before.
type WakeAt struct{ At time.Duration }

func (WakeAt) isAction() {}

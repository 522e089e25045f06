package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Replan asks for a plan on a newer snapshot, to be answered with Replanned.
type Replan struct{ NewerThan topology.Snapshot }

func (Replan) isAction() {}

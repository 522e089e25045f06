package query

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Replan requests a plan on a newer snapshot; the shell responds with a Replanned
// event.
type Replan struct{ NewerThan topology.Snapshot }

func (Replan) isAction() {}

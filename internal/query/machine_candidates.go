package query

import "slices"

// NeedsCandidates reports whether the shard of an attempt would be missing if the attempt
// failed, only because the plan has no further leaf for it. Leaves may have become
// available since the plan was made; Failed then names them.
func (m *Machine) NeedsCandidates(attempt uint64) bool {
	if attempt == 0 || attempt > uint64(len(m.attempts)) || m.attempts[attempt-1].state != attemptOpen {
		return false
	}
	shard := m.attempts[attempt-1].shard
	s := &m.shards[shard]
	for _, id := range s.open {
		if id != 0 && id != attempt {
			return false
		}
	}
	return s.sends < m.params.MaxAttempts && s.nextCandidate(m.plan.Shards[shard].Candidates, false) < 0
}

// addCandidates adds leaves to a shard, after those that its plan has. The plan that the
// shell passed is not modified.
func (m *Machine) addCandidates(shard int, candidates []Candidate) {
	if len(candidates) == 0 {
		return
	}
	m.plan.Shards = slices.Clone(m.plan.Shards)
	plan := &m.plan.Shards[shard]
	plan.Candidates = slices.Clip(plan.Candidates)
	for _, candidate := range candidates {
		if !slices.ContainsFunc(plan.Candidates, func(other Candidate) bool { return other.Leaf == candidate.Leaf }) {
			plan.Candidates = append(plan.Candidates, candidate)
		}
	}
}

package query

import "github.com/medlarswitch/medlarswitch/internal/errs"

// finish delivers the answer and aborts the open attempts.
func (m *Machine) finish(answer Answer) {
	m.phase = phaseFinished
	m.emit(Finish{Answer: answer})
	m.abortAll()
}

// answerOfStop returns the answer of a query that its VM ends.
func (m *Machine) answerOfStop() Answer {
	answer := m.answer(errs.ReasonDraining)
	if m.mergedShards > 0 {
		answer.Err = ""
	}
	return answer
}

func (m *Machine) answer(err errs.Reason) Answer {
	answer := Answer{
		Snapshot: m.plan.Snapshot, CoveredWeight: m.coveredWeight, TotalWeight: m.totalWeight, Err: err,
		Missing: m.missing(err),
	}
	if err == "" && m.mergedShards == 0 {
		answer.Err = m.noReplyReason(answer.Missing)
	}
	return answer
}

func (m *Machine) missing(err errs.Reason) []Missing {
	if m.mergedShards == len(m.shards) {
		return nil
	}
	out := make([]Missing, 0, len(m.shards)-m.mergedShards)
	for i := range m.shards {
		if m.shards[i].status != shardMerged {
			out = append(out, Missing{Shard: m.plan.Shards[i].Shard, Reason: m.missingReason(i, err)})
		}
	}
	return out
}

func (m *Machine) missingReason(shard int, err errs.Reason) errs.Reason {
	s := &m.shards[shard]
	switch {
	case s.status == shardMissing || s.status == shardAwaitingPlan || s.status == shardCanaryFailed || s.status == shardHeld:
		return s.reason
	case err != "":
		return err
	}
	return errs.ReasonDeadline
}

// noReplyReason returns the error of an answer without a merged reply: the reason
// of the missing shard with the greatest weight. A plan without shards means that
// there is no configuration.
func (m *Machine) noReplyReason(missing []Missing) errs.Reason {
	if m.crashLimitReached {
		return errs.ReasonCrashed
	}
	if len(missing) == 0 {
		return errs.ReasonNoConfig
	}
	heaviest := 0
	for i := range m.plan.Shards {
		if m.plan.Shards[i].Weight > m.plan.Shards[heaviest].Weight {
			heaviest = i
		}
	}
	return missing[heaviest].Reason
}

func (m *Machine) abortAll() {
	for i := range m.shards {
		m.abortShard(&m.shards[i])
	}
}

func (m *Machine) abortShard(s *shardState) {
	for i, id := range s.open {
		if id == 0 {
			continue
		}
		s.open[i] = 0
		m.attempts[id-1].state = attemptAborted
		m.emit(Abort{Attempt: id})
	}
}

package query

import "github.com/medlarswitch/medlarswitch/internal/errs"

// finish answers with what was merged and aborts what is in flight.
func (m *Machine) finish(err errs.Reason) {
	m.phase = phaseFinished
	m.emit(Finish{Answer: m.answer(err)})
	m.abortAll()
}

func (m *Machine) answer(err errs.Reason) Answer {
	answer := Answer{
		Snapshot: m.plan.Snapshot, Covered: m.covered, Total: m.total, Err: err,
		Missing: m.missing(err),
	}
	if err == "" && m.merged == 0 {
		answer.Err = m.failure(answer.Missing)
	}
	return answer
}

func (m *Machine) missing(err errs.Reason) []Missing {
	if m.merged == len(m.shards) {
		return nil
	}
	out := make([]Missing, 0, len(m.shards)-m.merged)
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
	case s.status == shardMissing || s.status == shardRetired:
		return s.reason
	case err != "":
		return err
	}
	return errs.ReasonDeadline
}

// failure is the error of an answer without any reply: the reason of the
// heaviest missing shard. A query over no shards has no configuration.
func (m *Machine) failure(missing []Missing) errs.Reason {
	if m.crashed {
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

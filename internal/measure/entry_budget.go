package measure

import (
	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// extraShare and extraBurst are those of the entry process.
	extraShare = 0.05
	extraBurst = 20
)

// spending is an entry's budget and what it counted.
type entryBudget struct {
	sim    *sim
	budget *budget.Budget
	// hedges is a second limit for a smaller share of hedges, else nil.
	hedgeLimit *budget.Budget

	firstSends, extraSends float64
	// overBudget is the most by which extra sends exceeded the share.
	maxExcess float64
}

func newEntryBudget(s *sim) *entryBudget {
	out := &entryBudget{sim: s, budget: budget.New(budget.Config{Share: extraShare, Burst: extraBurst})}
	if s.policy.HedgeShare > 0 && s.policy.HedgeShare < budget.HedgeFraction {
		fraction := s.policy.HedgeShare / budget.HedgeFraction
		out.hedgeLimit = budget.New(budget.Config{Share: extraShare * fraction, Burst: extraBurst * fraction})
	}
	return out
}

// sent counts a send.
func (s *entryBudget) recordSend(kind query.Kind) {
	measured := s.sim.Now >= rampTime
	if !isFirstSend(kind) {
		s.extraSends++
		s.maxExcess = max(s.maxExcess, s.extraSends-extraShare*s.firstSends)
		if measured {
			s.sim.result.ExtraSends++
		}
		return
	}
	s.firstSends++
	if measured {
		s.sim.result.FirstSends++
	}
	s.budget.OnFirstAttempt(s.sim.Now)
	if s.hedgeLimit != nil {
		s.hedgeLimit.OnFirstAttempt(s.sim.Now)
	}
}

// of returns the budget of a class.
func (s *entryBudget) forClass(class *topology.Class) query.Budget {
	return classBudget{entryBudget: s, reserved: s.sim.policy.ReserveBudget && class.Priority > 0}
}

// classBudget is the budget as one class may use it.
type classBudget struct {
	*entryBudget
	reserved bool
}

// TrySpend implements query.Budget.
func (c classBudget) TrySpend(_ topology.ShardID, kind query.Kind) bool {
	s, now := c.entryBudget, c.entryBudget.sim.Now
	spendKind := budget.KindRetry
	if kind == query.KindHedge {
		spendKind = budget.KindHedge
	}
	if spendKind == budget.KindHedge && s.hedgeLimit != nil && !s.hedgeLimit.TrySpend(now, spendKind) {
		return false
	}
	if c.reserved {
		return s.budget.TrySpendLowPriority(now, spendKind)
	}
	return s.budget.TrySpend(now, spendKind)
}

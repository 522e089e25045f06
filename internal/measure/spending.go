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
type spending struct {
	sim    *sim
	budget *budget.Budget
	// hedges is a second limit for a smaller share of hedges, else nil.
	hedges *budget.Budget

	firsts, extra float64
	// overBudget is the most by which extra sends exceeded the share.
	overBudget float64
}

func newSpending(s *sim) *spending {
	out := &spending{sim: s, budget: budget.New(budget.Config{Share: extraShare, Burst: extraBurst})}
	if s.policy.HedgeShare > 0 && s.policy.HedgeShare < budget.HedgeFraction {
		part := s.policy.HedgeShare / budget.HedgeFraction
		out.hedges = budget.New(budget.Config{Share: extraShare * part, Burst: extraBurst * part})
	}
	return out
}

// sent counts a send.
func (s *spending) sent(kind query.Kind) {
	measured := s.sim.Now >= rampTime
	if !firstSend(kind) {
		s.extra++
		s.overBudget = max(s.overBudget, s.extra-extraShare*s.firsts)
		if measured {
			s.sim.result.Extra++
		}
		return
	}
	s.firsts++
	if measured {
		s.sim.result.Firsts++
	}
	s.budget.OnFirstAttempt(s.sim.Now)
	if s.hedges != nil {
		s.hedges.OnFirstAttempt(s.sim.Now)
	}
}

// of returns the budget of a class.
func (s *spending) of(class *topology.Class) query.Budget {
	return classBudget{spending: s, reserved: s.sim.policy.Reserve && class.Priority > 0}
}

// classBudget is the budget as one class may use it.
type classBudget struct {
	*spending
	reserved bool
}

// TrySpend implements query.Budget.
func (c classBudget) TrySpend(_ topology.ShardID, kind query.Kind) bool {
	s, now := c.spending, c.spending.sim.Now
	spent := budget.KindRetry
	if kind == query.KindHedge {
		spent = budget.KindHedge
	}
	if spent == budget.KindHedge && s.hedges != nil && !s.hedges.TrySpend(now, spent) {
		return false
	}
	if c.reserved {
		return s.budget.TrySpendLowPriority(now, spent)
	}
	return s.budget.TrySpend(now, spent)
}

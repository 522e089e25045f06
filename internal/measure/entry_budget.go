package measure

import (
	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/query"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	// extraShare and extraBurst have the values of the entry process.
	extraShare = 0.05
	extraBurst = 20
)

// entryBudget holds an entry's budget and counts its sends.
type entryBudget struct {
	sim    *sim
	budget *budget.Budget
	// hedgeLimit is an additional budget that holds hedges to a smaller share
	// than the budget package does, or nil.
	hedgeLimit *budget.Budget

	firstSends, extraSends float64
	// maxExcess is the largest number by which extra sends exceeded extraShare of
	// the first sends.
	maxExcess float64
}

func newEntryBudget(s *sim) *entryBudget {
	b := &entryBudget{sim: s, budget: budget.New(budget.Config{Share: extraShare, Burst: extraBurst})}
	if s.policy.HedgeShare > 0 && s.policy.HedgeShare < budget.HedgeFraction {
		fraction := s.policy.HedgeShare / budget.HedgeFraction
		b.hedgeLimit = budget.New(budget.Config{Share: extraShare * fraction, Burst: extraBurst * fraction})
	}
	return b
}

// recordSend counts a send. First sends earn budget.
func (b *entryBudget) recordSend(kind query.Kind) {
	measured := b.sim.Now >= rampTime
	if !isFirstSend(kind) {
		b.extraSends++
		b.maxExcess = max(b.maxExcess, b.extraSends-extraShare*b.firstSends)
		if measured {
			b.sim.result.ExtraSends++
		}
		return
	}
	b.firstSends++
	if measured {
		b.sim.result.FirstSends++
	}
	b.budget.OnFirstAttempt(b.sim.Now)
	if b.hedgeLimit != nil {
		b.hedgeLimit.OnFirstAttempt(b.sim.Now)
	}
}

// forClass returns the budget for the queries of a class.
func (b *entryBudget) forClass(class *topology.Class) query.Budget {
	return classBudget{entryBudget: b, reserved: b.sim.policy.ReserveBudget && class.Priority > 0}
}

// classBudget is an entry's budget with the limits of one class.
type classBudget struct {
	*entryBudget
	reserved bool
}

// TrySpend implements query.Budget.
func (c classBudget) TrySpend(_ topology.ShardID, kind query.Kind) bool {
	b, now := c.entryBudget, c.entryBudget.sim.Now
	spendKind := budget.KindRetry
	if kind == query.KindHedge {
		spendKind = budget.KindHedge
	}
	if spendKind == budget.KindHedge && b.hedgeLimit != nil && !b.hedgeLimit.TrySpend(now, spendKind) {
		return false
	}
	if c.reserved {
		return b.budget.TrySpendLowPriority(now, spendKind)
	}
	return b.budget.TrySpend(now, spendKind)
}

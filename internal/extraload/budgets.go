package extraload

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Config is the bound on extra requests to a service, over all VMs.
type Config struct {
	// Ratio is the number of extra requests per request.
	Ratio float64
	// Slack is the number of extra requests per window that are allowed in addition.
	Slack float64
	// Window is the interval to which the bound applies.
	Window time.Duration
	// StartFull grants new budgets the burst of their slack at once. It is meant
	// only for the first start of the whole system: VMs that restart repeatedly
	// would otherwise spend the burst after each restart.
	StartFull bool
}

const (
	// minSlack is the smallest share of the slack, in requests per window. It also
	// applies while a VM does not know the other VMs.
	minSlack = 1
	// burstFraction is the fraction of a VM's slack that may be spent at once.
	burstFraction = 0.5
	// joiningMembers is the number of VMs that may have joined since the list of
	// members was read.
	joiningMembers = 1
	// aggregatorFraction is the fraction of the slack that the aggregators share.
	// The rest still allows each of the other VMs of a large deployment one request
	// per window, minSlack, for the queries that it runs itself.
	aggregatorFraction = 0.6
)

// Budgets holds this VM's budget for each service. It is not safe for concurrent
// use.
type Budgets struct {
	config  Config
	fleet   Fleet
	budgets map[fleet.ServiceName]*budget.Budget
}

// New returns the budgets of a VM that does not know the other VMs yet.
func New(config Config) *Budgets {
	return &Budgets{config: config, budgets: make(map[fleet.ServiceName]*budget.Budget)}
}

// SetFleet sets the VMs that share the bound.
func (bs *Budgets) SetFleet(f Fleet) {
	if f == bs.fleet {
		return
	}
	bs.fleet = f
	for _, b := range bs.budgets {
		b.SetConfig(bs.budgetConfig())
	}
}

// SetConfig changes the bound. StartFull keeps its value.
func (bs *Budgets) SetConfig(config Config) {
	config.StartFull = bs.config.StartFull
	bs.config = config
	for _, b := range bs.budgets {
		b.SetConfig(bs.budgetConfig())
	}
}

// OnRequest counts a caller's request for a service.
func (bs *Budgets) OnRequest(now time.Duration, service fleet.ServiceName) {
	bs.budgetFor(service).OnFirstAttempt(now)
}

// TrySpend charges one extra request to a service's budget and reports whether the
// budget allowed it.
func (bs *Budgets) TrySpend(now time.Duration, service fleet.ServiceName, kind budget.Kind) bool {
	return bs.budgetFor(service).TrySpend(now, kind)
}

// Retain drops the budgets of services that are not in the configuration.
func (bs *Budgets) Retain(c *fleet.Configuration) {
	for name := range bs.budgets {
		if _, ok := c.Services[name]; !ok {
			delete(bs.budgets, name)
		}
	}
}

func (bs *Budgets) budgetFor(service fleet.ServiceName) *budget.Budget {
	b := bs.budgets[service]
	if b == nil {
		b = budget.New(bs.budgetConfig())
		if bs.config.StartFull {
			b.Fill()
		}
		bs.budgets[service] = b
	}
	return b
}

// budgetConfig returns this VM's share of the bound. Of its slack, burstFraction
// may be spent at once and the rest accrues over a window, so that no window gets
// more than the slack.
func (bs *Budgets) budgetConfig() budget.Config {
	slack := bs.fleet.slackShare(bs.config.Slack)
	burst := max(burstFraction*slack, 1)
	return budget.Config{
		Share: bs.config.Ratio, Burst: burst, Rate: (slack - burst) / bs.config.Window.Seconds(),
	}
}

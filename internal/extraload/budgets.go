package extraload

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/budget"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

// Config is the bound over all VMs.
type Config struct {
	// Ratio is the extra requests per request.
	Ratio float64
	// Slack is how many extra requests a service bears besides in a window.
	Slack float64
	// Window is the length of the windows that the bound holds for.
	Window time.Duration
	// StartFull budgets begin with their part of the slack. It is for the first start
	// of the whole system only: VMs that are restarted again and again would
	// otherwise spend it each time.
	StartFull bool
}

const (
	// soloSlack is the part of the slack of a VM that does not know the others.
	soloSlack = 1
	// burstPart of the slack may be spent at once.
	burstPart = 0.5
	// joiningMembers is how many VMs may have joined since the members were read.
	joiningMembers = 1
	// aggregatorPart of the slack is for VMs that run the queries of others. With
	// the rest, a VM of the grown deployments still has one request in a window,
	// soloSlack, for the queries that it runs itself.
	aggregatorPart = 0.6
)

// Budgets holds one budget per service. It is not safe for concurrent use.
type Budgets struct {
	config  Config
	fleet   Fleet
	budgets map[fleet.ServiceName]*budget.Budget
}

// New returns a ledger of a VM that does not know the others yet.
func New(config Config) *Budgets {
	return &Budgets{config: config, budgets: make(map[fleet.ServiceName]*budget.Budget)}
}

// SetFleet takes in which VMs share the bound.
func (l *Budgets) SetFleet(f Fleet) {
	if f == l.fleet {
		return
	}
	l.fleet = f
	for _, b := range l.budgets {
		b.SetConfig(l.budget())
	}
}

// SetConfig changes the bound.
func (l *Budgets) SetConfig(config Config) {
	config.StartFull = l.config.StartFull
	l.config = config
	for _, b := range l.budgets {
		b.SetConfig(l.budget())
	}
}

// OnRequest counts a caller's request for a service.
func (l *Budgets) OnRequest(now time.Duration, service fleet.ServiceName) {
	l.of(service).OnFirstAttempt(now)
}

// TrySpend takes one further send to a service and reports whether it fits.
func (l *Budgets) TrySpend(now time.Duration, service fleet.ServiceName, kind budget.Kind) bool {
	return l.of(service).TrySpend(now, kind)
}

// Retain drops the budgets of services that the configuration does not have.
func (l *Budgets) Retain(c *fleet.Configuration) {
	for name := range l.budgets {
		if _, ok := c.Services[name]; !ok {
			delete(l.budgets, name)
		}
	}
}

func (l *Budgets) of(service fleet.ServiceName) *budget.Budget {
	b := l.budgets[service]
	if b == nil {
		b = budget.New(l.budget())
		if l.config.StartFull {
			b.Fill()
		}
		l.budgets[service] = b
	}
	return b
}

// budget is this VM's part of the bound. Of its slack, burstPart may be spent at
// once, and the rest accrues over a window, so that no window gets more than all.
func (l *Budgets) budget() budget.Config {
	slack := l.fleet.slack(l.config.Slack)
	burst := max(burstPart*slack, 1)
	return budget.Config{
		Share: l.config.Ratio, Burst: burst, Rate: (slack - burst) / l.config.Window.Seconds(),
	}
}

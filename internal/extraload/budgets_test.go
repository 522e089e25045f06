package extraload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/budget"
)

// Guards against more extra requests in a window than the bound over all VMs, when
// a service fails, every VM tries to send extra ones for every request, and the
// traffic moves between VMs.
func TestBoundOverAllVMs(t *testing.T) {
	testBound(t, Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, 9, 0)
}

// Guards against exceeding the same bound in a large deployment, where six
// aggregators run the queries of the other VMs, which also run some themselves.
func TestBoundWithAggregators(t *testing.T) {
	testBound(t, Config{Ratio: 0.2, Slack: 176, Window: 10 * time.Second}, 68, 6)
}

func testBound(t *testing.T, config Config, members, aggregators int) {
	window := config.Window
	rapid.Check(t, func(t *rapid.T) {
		config.StartFull = rapid.Bool().Draw(t, "filled")
		ledgers := make([]*Budgets, members)
		for i := range ledgers {
			ledgers[i] = New(config)
			ledgers[i].SetFleet(Fleet{Members: members, Aggregators: aggregators, IsAggregator: i < aggregators})
		}
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			l := ledgers[rapid.IntRange(0, members-1).Draw(t, "vm")]
			l.OnRequest(now, "s")
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if l.TrySpend(now, "s", budget.KindRetry) {
					extras = append(extras, now)
				}
			}
		}
		for i := range extras {
			end := extras[i] + window
			bound := config.Ratio*float64(count(requests, extras[i], end)) + config.Slack
			before := config.Ratio*float64(count(requests, extras[i]-window, extras[i])) + config.Slack
			if n := float64(count(extras, extras[i], end)); n > max(bound, before) {
				t.Fatalf("%v extra requests in a window, %v allowed", n, max(bound, before))
			}
		}
	})
}

// Guards against a share of the slack that does not accrue again after it was
// spent, although the fleet stays far below the bound. In a large fleet, each VM
// sends a service a request only every two seconds, and some of these straggle.
func TestSlackAccruesAtLowLoad(t *testing.T) {
	l := New(Config{Ratio: 0.2, Slack: 190, Window: 10 * time.Second})
	l.SetFleet(Fleet{Members: 75})
	granted := 0
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Second {
		l.OnRequest(now, "s")
		if l.TrySpend(now, "s", budget.KindRetry) {
			granted++
		}
	}
	if granted < 12 {
		t.Fatalf("%d extra requests in a minute, the share of the slack alone allows 15", granted)
	}
}

// Guards against denied extra requests while nine tenths of the slack belong to
// VMs that run no queries. This happens in a large deployment when six aggregators
// run all queries, each 7.5 a second, and two of the three leaves of shards are slow.
func TestAggregatorsHaveMostOfTheSlack(t *testing.T) {
	l := New(Config{Ratio: 0.2, Slack: 176, Window: 10 * time.Second})
	l.SetFleet(Fleet{Members: 68, Aggregators: 6, IsAggregator: true})
	granted := 0
	for now := time.Duration(0); now < time.Minute; now += time.Second * 2 / 15 {
		l.OnRequest(now, "s")
		if l.TrySpend(now, "s", budget.KindRetry) {
			granted++
		}
	}
	// The ratio of 450 requests allows 90 extra ones. Half of the aggregator's share
	// of the slack, 0.6*176/7, accrues in each of the six windows. An equal share
	// would allow only 7 more.
	if granted < 90+44 {
		t.Fatalf("%d extra requests in a minute, want 134 or more", granted)
	}
}

// count returns the number of times in the half-open interval from..to.
func count(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

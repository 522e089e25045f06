package extraload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarswitch/medlarswitch/internal/budget"
)

// Load pattern: a service fails, and every request of every VM asks for a
// further leaf, with traffic that moves between VMs. Guards against more extra
// requests in a window than the bound over all VMs.
func TestBoundOverAllVMs(t *testing.T) {
	testBound(t, Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, 9, 0)
}

// The same on a fleet of the grown deployments, where six VMs run the queries of
// the others, which run some themselves.
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

// Load pattern: a large fleet, of which each VM sends a service a request every
// two seconds and some of them straggle. Guards against a part of the slack that
// is spent once and never again, while the fleet stays far below the bound.
func TestSlackComesBackWithoutLoad(t *testing.T) {
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
		t.Fatalf("%d extra requests in a minute, the part of the slack alone allows 15", granted)
	}
}

// Load pattern: shards of the grown deployments have two slow leaves of three, and
// six VMs run all queries, each 7.5 a second. Guards against extra requests that
// are denied while nine tenths of the slack belong to VMs that run no queries.
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
	// 90 are the ratio of 450 requests. Half of the part of the slack, which is
	// 0.6*176/7, accrues in each of the six windows. An equal part gives 7.
	if granted < 90+44 {
		t.Fatalf("%d extra requests in a minute, want 134 or more", granted)
	}
}

func count(at []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range at {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

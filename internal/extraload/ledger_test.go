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
	const (
		members = 9
		window  = 10 * time.Second
	)
	config := Config{Ratio: 0.2, Slack: 58, Window: window}
	rapid.Check(t, func(t *rapid.T) {
		config.Filled = rapid.Bool().Draw(t, "filled")
		ledgers := make([]*Ledger, members)
		for i := range ledgers {
			ledgers[i] = New(config)
			ledgers[i].SetMembers(members)
		}
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			l := ledgers[rapid.IntRange(0, members-1).Draw(t, "vm")]
			l.Request(now, "s")
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
	l.SetMembers(75)
	granted := 0
	for now := time.Duration(0); now < time.Minute; now += 2 * time.Second {
		l.Request(now, "s")
		if l.TrySpend(now, "s", budget.KindRetry) {
			granted++
		}
	}
	if granted < 12 {
		t.Fatalf("%d extra requests in a minute, the part of the slack alone allows 15", granted)
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

package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/fleet"
)

const (
	route   = "r"
	service = fleet.ServiceName("s")
	ms      = time.Millisecond
)

// twoLeaves returns a table with the leaves "a" and "b" that have answered for a
// while in 10 ms each.
func twoLeaves(t *testing.T) *Table {
	table := New(Config{ColdFactor: 1.5, ColdSlack: 5})
	table.SetConfiguration(&fleet.Configuration{
		Routes:   []*fleet.Route{{Name: route}},
		Services: map[fleet.ServiceName]fleet.Service{service: {Name: service, MaxConnections: 26}},
	})
	table.SetMembers(9)
	table.SetLeaves(0, leaves("a", "b"))
	for i := range 20 {
		at := time.Duration(i) * 20 * ms
		for _, id := range []fleet.LeafID{"a", "b"} {
			table.Begin(at, id)
			table.End(at+10*ms, id, route, at, Replied)
		}
	}
	return table
}

// warm is a time at which twoLeaves has replies.
const warm = 500 * ms

func leaves(ids ...string) map[fleet.LeafID]fleet.Leaf {
	out := map[fleet.LeafID]fleet.Leaf{}
	for _, id := range ids {
		out[fleet.LeafID(id)] = fleet.Leaf{ID: fleet.LeafID(id), Service: service, Address: id + ":1", Zone: "z", Slots: 2}
	}
	return out
}

// always checks that a condition holds whatever leaf's turn it is.
func always(t *testing.T, table *Table, now time.Duration, check func(choices []Choice) error) {
	t.Helper()
	for range 4 {
		assert.NilError(t, check(table.Choices(now, service, route)))
	}
}

func first(want fleet.LeafID) func([]Choice) error {
	return func(choices []Choice) error {
		if len(choices) == 0 || choices[0].ID != want {
			return fmt.Errorf("want %s first: %v", want, choices)
		}
		return nil
	}
}

func only(want ...fleet.LeafID) func([]Choice) error {
	return func(choices []Choice) error {
		if len(choices) != len(want) {
			return fmt.Errorf("want only %v: %v", want, choices)
		}
		for i := range want {
			if choices[i].ID != want[i] {
				return fmt.Errorf("want only %v: %v", want, choices)
			}
		}
		return nil
	}
}

// Load pattern: a leaf pauses for 120 ms. Guards against requests that queue up
// at it while its sibling is free.
func TestPausedLeafIsPassedOver(t *testing.T) {
	table := twoLeaves(t)
	table.Begin(warm, "a")
	always(t, table, warm+35*ms, first("b"))
	table.End(warm+130*ms, "a", route, warm, Replied)
	choices := table.Choices(warm+131*ms, service, route)
	assert.Assert(t, choices[0].Healthy && choices[1].Healthy)
}

// Load pattern: a leaf works eight times as long. Guards against even shares
// for it, and against a leaf that is never tried again.
func TestSlowLeafIsPassedOverAndTriedAgain(t *testing.T) {
	table := twoLeaves(t)
	for i := range 5 {
		at := warm + time.Duration(i)*100*ms
		table.Begin(at, "a")
		table.End(at+80*ms, "a", route, at, Replied)
	}
	always(t, table, warm+500*ms, first("b"))
	at := warm + 20*time.Second
	table.Begin(at, "b")
	table.Begin(at, "b")
	always(t, table, at, first("a"))
}

// Load pattern: leaves turn slow in a fleet whose VMs send each leaf a request
// only each few seconds. Guards against each VM having to find out by itself, and
// against a VM that believes others more than its own newer replies.
func TestSlowLeafIsToldToOthers(t *testing.T) {
	one, other := twoLeaves(t), twoLeaves(t)
	for i := range 2 {
		at := warm + time.Duration(i)*100*ms
		one.Begin(at, "a")
		one.End(at+90*ms, "a", route, at, Replied)
	}
	now := warm + 300*ms
	findings := one.SlowLeaves(now)
	assert.Equal(t, len(findings), 1)
	other.ApplyFindings(now, findings)
	always(t, other, now, first("b"))
	assert.Equal(t, len(other.SlowLeaves(now)), 0)
	for i := range 3 {
		at := now + time.Duration(i)*20*ms
		other.Begin(at, "a")
		other.End(at+10*ms, "a", route, at, Replied)
	}
	other.Begin(now+70*ms, "b")
	other.Begin(now+70*ms, "b")
	always(t, other, now+80*ms, first("a"))
}

// Load pattern: a leaf fails part of its requests while it looks healthy.
func TestFailingLeafIsPassedOver(t *testing.T) {
	table := twoLeaves(t)
	for i := range 3 {
		at := warm + time.Duration(i)*10*ms
		table.Begin(at, "a")
		table.End(at+ms, "a", route, at, Failed)
	}
	always(t, table, warm+40*ms, first("b"))
	assert.Assert(t, !table.Choices(warm+40*ms, service, route)[1].Healthy)
}

// Load pattern: a leaf sheds load. Guards against a budget that is spent on
// requests that the same leaf refuses again and again.
func TestSheddingLeafIsPassedOver(t *testing.T) {
	table := twoLeaves(t)
	table.Begin(warm, "a")
	table.End(warm+ms, "a", route, warm, Refused)
	always(t, table, warm+2*ms, first("b"))
}

// Guards against a zone that gets no requests because another one was faster
// before it was tried.
func TestZoneWithoutRepliesIsTried(t *testing.T) {
	table := twoLeaves(t)
	added := leaves("a", "b", "c")
	leaf := added["c"]
	leaf.Zone = "new"
	added["c"] = leaf
	table.SetLeaves(warm, added)
	table.Begin(warm, "a")
	table.Begin(warm, "b")
	table.Begin(warm, "a")
	table.Begin(warm, "b")
	always(t, table, warm, first("c"))
}

// Load pattern: a zone is cut off and its leaves neither answer nor refuse.
// Guards against all requests of a VM going to a leaf that cannot be reached.
func TestUnreachableLeafGetsOneTrialAtATime(t *testing.T) {
	table := twoLeaves(t)
	table.Begin(warm, "a")
	table.End(warm+150*ms, "a", route, warm, Unreachable)
	always(t, table, warm+160*ms, only("b"))
	trial := warm + 260*ms
	always(t, table, trial, only("b", "a"))
	table.Begin(trial, "a")
	always(t, table, trial+ms, only("b"))
	table.End(trial+10*ms, "a", route, trial, Replied)
	assert.Equal(t, len(table.Choices(trial+11*ms, service, route)), 2)
}

// Load pattern: an open connection goes silent, so that requests end without a
// reply while the leaf seems free in between.
func TestSilentLeafIsNotSound(t *testing.T) {
	table := twoLeaves(t)
	for i := range 2 {
		at := warm + time.Duration(i)*101*ms
		table.Begin(at, "a")
		table.End(at+100*ms, "a", route, at, Abandoned)
	}
	always(t, table, warm+210*ms, first("b"))
	assert.Assert(t, !table.Choices(warm+210*ms, service, route)[1].Healthy)
}

// Guards against requests to leaves that leave, whose zone is evacuated, or at
// whose address another leaf answered.
func TestLeavesThatGetNothing(t *testing.T) {
	rows := map[string]func(*Table){
		"leaving": func(table *Table) {
			changed := leaves("a", "b")
			leaf := changed["a"]
			leaf.Leaving = true
			changed["a"] = leaf
			table.SetLeaves(warm, changed)
		},
		"gone":     func(table *Table) { table.SetLeaves(warm, leaves("b")) },
		"replaced": func(table *Table) { table.Begin(warm, "a"); table.End(warm, "a", route, warm, Replaced) },
		"evacuated": func(table *Table) {
			changed := leaves("a", "b")
			leaf := changed["a"]
			leaf.Zone = "out"
			changed["a"] = leaf
			table.SetLeaves(warm, changed)
			table.SetEvacuated(map[fleet.Zone]bool{"out": true})
		},
	}
	for name, change := range rows {
		t.Run(name, func(t *testing.T) {
			table := twoLeaves(t)
			change(table)
			always(t, table, warm+ms, only("b"))
		})
	}
}

// Guards against a leaf that starts again under its ID and is still taken for
// the run before, which was unreachable.
func TestNewRunOfALeafStartsAnew(t *testing.T) {
	table := twoLeaves(t)
	table.Begin(warm, "a")
	table.End(warm, "a", route, warm, Unreachable)
	changed := leaves("a", "b")
	leaf := changed["a"]
	leaf.Started = 7
	changed["a"] = leaf
	table.SetLeaves(warm, changed)
	assert.Equal(t, len(table.Choices(warm, service, route)), 2)
}

// Load pattern: leaves return cold under full load. Guards against VMs that
// together send more than the cold leaf bears in any second.
func TestColdLeafGetsItsBoundFromAllVMs(t *testing.T) {
	const (
		members = 4
		rate    = 10.0
		bound   = 10*1.5 + 5
	)
	var sent []time.Duration
	tables := make([]*Table, members)
	for i := range tables {
		tables[i] = New(Config{ColdFactor: 1.5, ColdSlack: 5})
		tables[i].SetConfiguration(&fleet.Configuration{Services: map[fleet.ServiceName]fleet.Service{
			service: {Name: service, MaxConnections: 100, WarmUpRate: rate},
		}})
		tables[i].SetMembers(members)
		cold := leaves("a")
		leaf := cold["a"]
		leaf.ColdFor = 5 * time.Second
		cold["a"] = leaf
		tables[i].SetLeaves(0, cold)
	}
	for now := time.Duration(0); now < 4*time.Second; now += 2 * ms {
		for _, table := range tables {
			if len(table.Choices(now, service, route)) > 0 {
				table.Begin(now, "a")
				table.End(now+ms, "a", route, now, Replied)
				sent = append(sent, now)
			}
		}
	}
	assert.Assert(t, len(sent) > 0)
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at-sent[i] < time.Second {
				n++
			}
		}
		assert.Assert(t, n <= bound, "%d requests in the second from %s", n, sent[i])
	}
}

// Guards against a share of the connections that VMs together exceed.
func TestConnectionSharesAddUp(t *testing.T) {
	for _, members := range []int{1, 4, 9, 12, 20} {
		table := New(Config{})
		table.SetConfiguration(&fleet.Configuration{Services: map[fleet.ServiceName]fleet.Service{service: {MaxConnections: 60}}})
		table.SetMembers(members)
		table.SetLeaves(0, leaves("a"))
		assert.Assert(t, table.ConnectionLimit("a")*members <= 60, "%d members have %d each", members, table.ConnectionLimit("a"))
		assert.Assert(t, table.ConnectionLimit("a") >= 1)
	}
}

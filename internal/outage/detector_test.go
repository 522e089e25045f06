package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet plays VMs that call the store, at times in milliseconds.
type fleet struct {
	vms []*Detector
	now time.Duration
}

// newFleet returns VMs whose calls the store has just answered.
func newFleet(size int) *fleet {
	f := &fleet{now: 10 * time.Second}
	for range size {
		vm := New()
		vm.Answered(f.now)
		f.vms = append(f.vms, vm)
	}
	return f
}

// exchange lets each VM hear all others, over links of a delay.
func (f *fleet) exchange(delay time.Duration, links ...[2]int) {
	var states []State
	for _, vm := range f.vms {
		states = append(states, vm.State(f.now))
	}
	for to, vm := range f.vms {
		for from, state := range states {
			if from != to && (len(links) == 0 || contains(links, from, to)) {
				vm.Heard(f.now+delay, state)
			}
		}
	}
}

func contains(links [][2]int, a, b int) bool {
	for _, link := range links {
		if link == [2]int{a, b} || link == [2]int{b, a} {
			return true
		}
	}
	return false
}

// play runs d in steps of 100 ms. Each step, failing VMs record failed calls and the others,
// once a second and one after the other, answers; twice a second all exchange their states.
func (f *fleet) play(d time.Duration, failing func(vm int) bool, links ...[2]int) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		step := int(f.now / (100 * time.Millisecond))
		for i, vm := range f.vms {
			switch {
			case failing(i) && step%10 == 3*i%10:
				vm.Failed(f.now)
			case !failing(i) && step%10 == 3*i%10:
				vm.Answered(f.now)
			}
		}
		if step%5 == 0 {
			f.exchange(10*time.Millisecond, links...)
		}
	}
}

func all(int) bool  { return true }
func none(int) bool { return false }

// Guards against refusing requests since entries have lapsed: an outage that all VMs see is
// certain, for VMs that are told of it, too.
func TestOutageThatAllVMsSee(t *testing.T) {
	for _, away := range []time.Duration{2 * time.Second, 5 * time.Second, time.Minute} {
		f := newFleet(3)
		reader := New()
		reader.Confirmed(f.now, f.now)
		f.play(away, all)
		assert.Assert(t, f.vms[0].Answered(f.now), "%v", away)
		assert.Equal(t, f.vms[0].Grace().Until, f.now+GracePeriod)
		state := f.vms[0].State(f.now)
		assert.Equal(t, state.Seen, uint8(2))
		reader.Heard(f.now, state)
		assert.Equal(t, reader.Grace().Until, f.now+GracePeriod)
		f.exchange(0)
		assert.Equal(t, f.vms[2].Grace().Until, f.now+GracePeriod, "a VM that the store has not answered yet")
	}
}

// Load pattern: some VMs are partitioned from the store, others are not. Guards against an
// outage that one of them declares, and tells its readers.
func TestOutageThatOtherVMsRefute(t *testing.T) {
	for name, row := range map[string]struct {
		failing func(vm int) bool
	}{
		"one of three": {func(vm int) bool { return vm == 0 }},
		"two of three": {func(vm int) bool { return vm < 2 }},
	} {
		for _, away := range []time.Duration{600 * time.Millisecond, time.Second, 1300 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
			f := newFleet(3)
			f.play(2*time.Second, none)
			f.play(away, row.failing)
			assert.Assert(t, !f.vms[0].Answered(f.now), "%s, %v", name, away)
			assert.Equal(t, f.vms[0].Grace().Until, time.Duration(0), "%s, %v", name, away)
			assert.Assert(t, f.vms[0].State(f.now).Seen < 2)
		}
	}
}

// Guards against an outage that a VM takes from another one although the store has answered
// in the meantime.
func TestReaderKnowsThatTheStoreAnswered(t *testing.T) {
	claim := State{GraceLeft: GracePeriod, Lasted: 2 * time.Second, Seen: 2}
	for name, row := range map[string]struct {
		// confirmed are times before the statement at which the store answered some VM.
		confirmed []time.Duration
		adopted   bool
	}{
		"nothing since it began":      {[]time.Duration{2500 * time.Millisecond}, true},
		"in the middle":               {[]time.Duration{2500 * time.Millisecond, time.Second}, false},
		"throughout":                  {[]time.Duration{2500 * time.Millisecond, 1900 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond}, false},
		"again, just before":          {[]time.Duration{2500 * time.Millisecond, 100 * time.Millisecond}, true},
		"the same outage, seen later": {[]time.Duration{2100 * time.Millisecond, 0}, true},
	} {
		now, d := 10*time.Second, New()
		for _, before := range row.confirmed {
			d.Confirmed(now-before, now-before)
		}
		d.Heard(now, claim)
		want := time.Duration(0)
		if row.adopted {
			want = now + GracePeriod
		}
		assert.Equal(t, d.Grace().Until, want, name)
	}
}

// Guards against a grace period that a single VM has declared and that its readers take for
// certain, and against one that a VM which has seen the outage itself does not take.
func TestOutageThatOneVMHasSeen(t *testing.T) {
	now, claim := 10*time.Second, State{GraceLeft: GracePeriod, Lasted: 2 * time.Second, Seen: 1}
	reader := New()
	reader.Confirmed(8*time.Second, 8*time.Second)
	reader.Heard(now, claim)
	assert.DeepEqual(t, reader.Grace(), Grace{SuspectedUntil: now + GracePeriod})
	reader = New()
	reader.Confirmed(8*time.Second, 8*time.Second)
	reader.Failed(9 * time.Second)
	reader.Heard(now, claim)
	assert.Equal(t, reader.Grace().Until, now+GracePeriod)
}

// Guards against grace periods after a watch that was cut, a call that was refused once, a
// watch that the store has stalled while it answers others, and the silence between calls.
func TestFailuresThatAreNoOutage(t *testing.T) {
	const interval = 1400 * time.Millisecond
	for name, play := range map[string]func(d *Detector){
		"cut, and called again":     func(d *Detector) { d.Failed(10500 * time.Millisecond); d.Answered(10505 * time.Millisecond) },
		"refused, and called later": func(d *Detector) { d.Failed(10500 * time.Millisecond); d.Answered(11600 * time.Millisecond) },
		"cut again and again": func(d *Detector) {
			for now := 10100 * time.Millisecond; now < 14*time.Second; now += 200 * time.Millisecond {
				d.Failed(now)
				d.Answered(now + 50*time.Millisecond)
			}
		},
		"one stalled watch": func(d *Detector) {
			for now := 10100 * time.Millisecond; now < 14*time.Second; now += 100 * time.Millisecond {
				d.Overdue(now, interval)
				if now%time.Second == 0 {
					d.Answered(now)
				}
			}
		},
		"two answers far apart": func(d *Detector) { d.Answered(12500 * time.Millisecond) },
	} {
		d := New()
		d.Answered(10 * time.Second)
		play(d)
		assert.Equal(t, d.Grace().Until, time.Duration(0), name)
		assert.Assert(t, d.State(15*time.Second).Seen == 0, name)
	}
}

// Guards against VMs that confirm each other's conclusion although a third one is answered: two
// are partitioned from the store, and the third was not heard for a while.
func TestConclusionsAreNoEvidence(t *testing.T) {
	f := newFleet(3)
	f.play(2*time.Second, none)
	two := func(vm int) bool { return vm < 2 }
	f.play(2500*time.Millisecond, two, [2]int{0, 1})
	assert.Equal(t, f.vms[0].State(f.now).Away, uint8(2), "the third VM was not heard")
	f.play(2*time.Second, two)
	assert.Assert(t, f.vms[0].State(f.now).Away < 2)
	assert.Assert(t, !f.vms[0].Answered(f.now))
}

// Load pattern: a VM that reads from others calls the store itself when it is back, before they
// do. Guards against a VM that does not know that the entries may have lapsed.
func TestOutageThatHasNotEndedForOthers(t *testing.T) {
	f := newFleet(3)
	reader := New()
	reader.Confirmed(f.now, f.now)
	f.play(1700*time.Millisecond, all)
	reader.Heard(f.now, f.vms[1].State(f.now))
	reader.Failed(f.now + 50*time.Millisecond)
	assert.Assert(t, reader.Answered(f.now+100*time.Millisecond))
	assert.Equal(t, reader.Grace().Until, f.now+100*time.Millisecond+GracePeriod)
}

// Load pattern: the store turns all seeds away and answers the VMs that then call it themselves.
// Guards against an outage that these take from the seeds, and against one that the seeds
// declare when they are answered again.
func TestOutageThatOnlyTheSeedsSee(t *testing.T) {
	f := newFleet(3)
	f.play(2*time.Second, none)
	reader := New()
	reader.Confirmed(f.now, f.now)
	f.play(1700*time.Millisecond, all)
	reader.Heard(f.now, f.vms[1].State(f.now))
	assert.Assert(t, !reader.Answered(f.now+100*time.Millisecond))
	for range 6 {
		f.play(500*time.Millisecond, all)
		reader.Answered(f.now - 200*time.Millisecond)
		f.vms[0].Heard(f.now, reader.State(f.now))
	}
	f.exchange(10 * time.Millisecond)
	for _, vm := range f.vms {
		assert.Assert(t, !vm.Answered(f.now+100*time.Millisecond))
		reader.Heard(f.now+150*time.Millisecond, vm.State(f.now+150*time.Millisecond))
	}
	assert.Equal(t, reader.Grace().Until, time.Duration(0))
}

// Guards against VMs that tell each other of answers which none of them has had: each would
// take the other's statement for newer than its own.
func TestStatementsDoNotRenewEachOther(t *testing.T) {
	f := newFleet(2)
	for range 100 {
		f.now += 100 * time.Millisecond
		f.exchange(50 * time.Millisecond)
	}
	for _, vm := range f.vms {
		vm.Failed(f.now)
		assert.Assert(t, vm.Answered(f.now+time.Millisecond))
	}
}

// Guards against a statement that was under way for long and counts as new.
func TestDelayedStatement(t *testing.T) {
	s := State{Calls: true, Silent: time.Second, Others: true, OthersSilent: time.Second, GraceLeft: 2 * time.Second}
	assert.DeepEqual(t, s.Delayed(time.Second), State{Calls: true, Silent: 2 * time.Second, Others: true, OthersSilent: 2 * time.Second, GraceLeft: time.Second})
	assert.Equal(t, s.Delayed(3*time.Second).GraceLeft, time.Duration(0))
	assert.DeepEqual(t, State{}.Delayed(time.Second), State{})
}

package confsync

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// transmit sends an event to a node over a network that loses, duplicates and
// delays messages and drops those from or to a partitioned node.
func (f *fleet) transmit(from *node, to topology.VMID, ev Event) {
	copies := 1
	if f.rnd.Float64() < f.faults.duplicate {
		copies = 2
	}
	for range copies {
		if f.rnd.Float64() < f.faults.loss {
			continue
		}
		d := time.Duration(1+f.rnd.IntN(15)) * time.Millisecond
		if f.rnd.Float64() < f.faults.delay {
			d += time.Duration(f.rnd.IntN(4000)) * time.Millisecond
		}
		for _, n := range f.nodes {
			if n.vm.ID == to && !n.partitioned && !from.partitioned {
				f.After(d, func() { f.step(n, ev) })
			}
		}
	}
}

func (f *fleet) fetch(n *node, a FetchSection) {
	v, boot := textKey{a.Name, a.EditID}, n.boot
	reply := func(text []byte, ok bool, via *node) {
		var ev Event = FetchFailed(a)
		if ok {
			if f.rnd.Float64() < f.faults.corrupt {
				text = append([]byte("x"), text...)
			}
			ev = SectionReceived{Name: a.Name, EditID: a.EditID, Text: text}
		}
		if n.boot == boot {
			f.transmit(via, n.vm.ID, ev)
		}
	}
	if a.From == "" {
		f.After(5*time.Millisecond, func() {
			f.store.reads++
			if f.store.down {
				if !f.store.unresponsive {
					reply(nil, false, n)
				}
				return
			}
			text, ok := f.store.texts[v]
			reply(text, ok, n)
		})
		return
	}
	for _, p := range f.nodes {
		if p.vm.ID == a.From && !p.partitioned && !n.partitioned && f.rnd.Float64() >= f.faults.loss {
			f.After(max(5*time.Millisecond, p.pausedUntil-f.Now), func() {
				text, ok := p.machine.Section(a.Name, a.EditID)
				reply(text, ok, p)
			})
		}
	}
}

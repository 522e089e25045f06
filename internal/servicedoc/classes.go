package servicedoc

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/tomldoc"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const maxPriority = 255

func (c *checker) checkClasses(p *parsedSection) {
	for _, t := range p.root.Tables("class") {
		c.checkClass(p, t)
		t.ReportUnknownKeys()
	}
}

func (c *checker) checkClass(p *parsedSection, t *tomldoc.Table) {
	id, idOK := readName(t, "name")
	class := readClass(t)
	class.ID = topology.ClassID(id)
	c.requireIndex(class.Index, t)
	if idOK && recordUnique(c.classPositions, class.ID, p, t, "name") {
		c.topo.Classes[class.ID] = class
	}
}

func readClass(t *tomldoc.Table) *topology.Class {
	index, _ := t.String("index")
	scope, _ := t.Choice("scope", string(topology.ScopeAll), string(topology.ScopeOne))
	priority, _ := t.Int("priority", 0, maxPriority)
	prefer, _ := t.Choice("prefer", string(topology.PreferLatency), string(topology.PreferCoverage))
	target, targetOK := t.Duration("latency_target", time.Millisecond, topology.MaxDeadline)
	deadline, deadlineOK := t.Duration("deadline", time.Millisecond, topology.MaxDeadline)
	if targetOK && deadlineOK && target > deadline {
		t.Report("latency_target", "is %v: expected at most the deadline, %v", target, deadline)
	}
	class := &topology.Class{
		Index: topology.IndexID(index), Scope: topology.Scope(scope), Priority: int(priority),
		Prefer: topology.Preference(prefer), LatencyTarget: target, Deadline: deadline,
		Canary: topology.CanarySuspect,
	}
	if t.Has("canary") {
		mode, _ := t.Choice("canary", string(topology.CanaryAlways), string(topology.CanarySuspect), string(topology.CanaryNever))
		class.Canary = topology.CanaryMode(mode)
	}
	if t.Has("submits") {
		class.AcceptsSubmits, _ = t.Bool("submits")
	}
	return class
}

// requireIndex reports a reference to an index that the document doesn't define.
func (c *checker) requireIndex(id topology.IndexID, t *tomldoc.Table) {
	if id == "" || c.unreadable[KindIndex] {
		return
	}
	if _, ok := c.topo.Indexes[id]; !ok {
		t.Report("index", "%q is unknown: expected an index of the document", id)
	}
}

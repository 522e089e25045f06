package harness

import "strings"

// PreferCoverage makes the course finder of Valdivia wait for coverage, in
// what PutAll writes. A query that answers early cancels what runs, and a cold
// leaf whose request was cancelled gets no other one for its whole run limit.
// The deadline is above the run times of queries that wait for cold leaves,
// since an entry sheds a class that it expects to miss its deadline.
func (c *Cluster) PreferCoverage() {
	const early = `prefer = "latency"
latency_target = "400ms"
deadline = "1s"`
	const late = `prefer = "coverage"
latency_target = "400ms"
deadline = "7s"`
	for i := range c.Fleet.Sections {
		c.Fleet.Sections[i].Text = strings.ReplaceAll(c.Fleet.Sections[i].Text, early, late)
	}
}

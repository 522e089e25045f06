package harness

import "strings"

// PreferCoverage changes the class course-finder of Valdivia, in the sections
// that PutAllSections writes, to prefer coverage over latency. A query that
// prefers latency replies early and cancels its pending leaf requests, and a cold
// leaf whose request was cancelled receives no other one for its whole run limit.
// The deadline is longer than the run time of a query that waits for cold leaves,
// because an entry sheds a class that it expects to miss its deadline.
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

package process_test

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/editor"
	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// activationBound limits the time from the acceptance of an edit until its
// generation is active at every entry and relay.
const activationBound = 6 * time.Second

func section(c *harness.Cluster, name string) standin.Section {
	for _, s := range c.Fleet.Sections {
		if s.Name == name {
			return s
		}
	}
	panic("no section " + name)
}

// withComment returns a section with an appended comment, so that its text
// differs.
func withComment(c *harness.Cluster, name, comment string) standin.Section {
	s := section(c, name)
	s.Text += "# " + comment + "\n"
	return s
}

func waitActive(ctx context.Context, t *testing.T, c *harness.Cluster, generation uint64) {
	t.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, activationBound)
	defer cancel()
	assert.NilError(t, c.WaitGeneration(ctx, generation))
	t.Logf("generation %d active everywhere after %s", generation, time.Since(began).Round(time.Millisecond))
}

func checkNoDecrease(t *testing.T, g *harness.GenerationWatch) {
	t.Helper()
	decreases, samples := g.Stop()
	assert.Equal(t, len(decreases), 0, "generations decreased: %v", decreases)
	assert.Assert(t, samples > 0)
}

// putConcurrently runs medlarctl for all sections at the same time. It returns the
// number of accepted edits and the outputs. The store is slow meanwhile, so that
// every medlarctl reads before the first one writes.
func putConcurrently(ctx context.Context, t *testing.T, c *harness.Cluster, sections ...standin.Section) (accepted int, outputs string) {
	t.Helper()
	assert.NilError(t, c.ControlStore("delay", "n", "200"))
	defer func() { assert.NilError(t, c.ControlStore("delay", "n", "0")) }()
	var g errgroup.Group
	texts, errs := make([]string, len(sections)), make([]error, len(sections))
	for i, s := range sections {
		g.Go(func() error {
			texts[i], errs[i] = c.PutSectionConcurrently(ctx, s, i)
			return nil
		})
	}
	_ = g.Wait()
	for _, err := range errs {
		if err == nil {
			accepted++
		}
	}
	return accepted, strings.Join(texts, "\n")
}

// Guards against concurrent edits of which one silently overwrites the other, is
// refused because of an unrelated edit, or makes the configuration invalid.
func TestConcurrentEdits(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 1})
	g := c.WatchGenerations(ctx)
	generation := uint64(len(c.Fleet.Sections))

	n, out := putConcurrently(ctx, t, c, withComment(c, "classes", "first"), withComment(c, "classes", "second"))
	assert.Equal(t, n, 1, out)
	assert.Assert(t, strings.Contains(out, "was changed by team"), out)
	generation++
	waitActive(ctx, t, c, generation)

	n, out = putConcurrently(ctx, t, c, withComment(c, "zones", "first"), withComment(c, "index.billing", "second"))
	assert.Equal(t, n, 2, out)
	generation += 2
	waitActive(ctx, t, c, generation)

	// Team courses reads the configuration while it owns the index, and then another
	// edit transfers the index to team office. The edit of courses must be refused.
	courses := editor.New(platform.NewClient(c.Fleet.PlatformURL(), "courses"), "courses")
	base, err := courses.Read(ctx)
	assert.NilError(t, err)
	owners := section(c, "owners")
	owners.Text = strings.Replace(owners.Text, "section = \"index.roster\"\nteam = \"courses\"", "section = \"index.roster\"\nteam = \"office\"", 1)
	_, err = c.PutSection(ctx, owners)
	assert.NilError(t, err)
	generation++
	_, err = courses.Apply(ctx, base, courses.NewEdit(base, "index.roster", []byte(withComment(c, "index.roster", "third").Text)))
	assert.ErrorContains(t, err, "may not edit")
	waitActive(ctx, t, c, generation)
	doc, err := courses.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, doc.Manifest.Generation, generation)
	checkNoDecrease(t, g)
}

// Guards against an accepted edit that is reported as failed because the store's
// replies to the write of the section and to the conditional update are lost.
func TestLostReplyOfAnEdit(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 1})
	generation := uint64(len(c.Fleet.Sections))
	for _, lost := range []string{"1", "2"} {
		assert.NilError(t, c.ControlStore("lose", "n", lost))
		out, err := c.PutSection(ctx, withComment(c, "classes", "lost "+lost))
		assert.NilError(t, err)
		generation++
		assert.Assert(t, strings.Contains(out, "accepted"), out)
		waitActive(ctx, t, c, generation)
	}
}

// Guards against an accepted edit that is lost or reverted when the store goes
// down right after it, also on a VM whose processes restart during the outage.
func TestEditBeforeStoreOutage(t *testing.T) {
	const restarted = 1
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 2})
	g := c.WatchGenerations(ctx)
	_, err := c.PutSection(ctx, withComment(c, "classes", "outage"))
	assert.NilError(t, err)
	assert.NilError(t, c.ControlStore("down"))
	generation := uint64(len(c.Fleet.Sections)) + 1
	waitActive(ctx, t, c, generation)
	for _, role := range []string{harness.RoleEntry, harness.RoleRelay, harness.RoleAgent} {
		c.Process(restarted, role).Kill()
	}
	for _, role := range []string{harness.RoleAgent, harness.RoleRelay, harness.RoleEntry} {
		assert.NilError(t, c.StartProcess(restarted, role))
	}
	waitActive(ctx, t, c, generation)
	checkNoDecrease(t, g)
}

// Guards against requests under an old generation from a VM that was paused while
// a zone was taken out: its entry and relay would still send to the zone.
func TestFrozenVMContinuesWithOldGeneration(t *testing.T) {
	const zone = "osorno"
	ctx, c := startCluster(t, harness.Options{VMsPerZone: 1})
	pausedVM := c.VMsInZone(zone)[0]
	load := c.StartLoad(ctx, "course-finder", 1, pausedVM)
	leaf, _ := c.LeafInZone("enrolment", zone)
	assert.NilError(t, harness.Wait(ctx, "a warm leaf", func() error { return c.CheckLeafWarm(leaf) }))
	load.Stop()
	assert.NilError(t, c.SignalVM(pausedVM, syscall.SIGSTOP))
	g := c.WatchGenerations(ctx)
	_, err := c.Medlarctl(ctx, "operations", "zone", "out", zone)
	assert.NilError(t, err)
	accepted := time.Now()
	assert.NilError(t, harness.Wait(ctx, "the end of the pause", func() error { return checkElapsed(accepted, activationBound) }))
	load = c.StartLoad(ctx, "course-finder", 4, pausedVM)
	defer load.Stop()
	resumed := time.Now()
	assert.NilError(t, c.SignalVM(pausedVM, syscall.SIGCONT))
	waitActive(ctx, t, c, uint64(len(c.Fleet.Sections))+1)
	assert.NilError(t, harness.Wait(ctx, "answers", func() error { return checkAnswerCount(load, 20) }))
	last, err := c.LastRequestStart(zone)
	assert.NilError(t, err)
	assert.Assert(t, last.Before(resumed), "zone %s started a request %s after the VM resumed", zone, last.Sub(resumed))
	checkNoDecrease(t, g)
	t.Logf("load: %+v", load.Stop())
}

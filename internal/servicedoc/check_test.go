package servicedoc

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Guards against a check that drops parts, limits or zone states of a valid
// document.
func TestValidDocument(t *testing.T) {
	topo, problems := Check(sample())
	assert.NilError(t, problems.Err())
	assert.Equal(t, len(topo.Indexes["finder"].Shards), 2)
	assert.Equal(t, len(topo.Leaves), 3)
	assert.Equal(t, topo.Indexes["finder"].RunLimit, 2*time.Second)
	assert.Equal(t, topo.Leaves["finder-0-b"].Address, "127.0.0.1:7002")
	assert.Equal(t, topo.Classes["lookup"].Canary, topology.CanarySuspect)
	assert.Assert(t, topo.InService("osorno") && !topo.InService("valdivia"))
}

// Guards against faults that go undetected, that are reported without their
// position, or that cause additional problems that the operator can't act on.
// Each row introduces one fault.
func TestEachFaultIsOneProblem(t *testing.T) {
	rows := []struct{ section, old, text, want string }{
		{"zones", `state = "in"`, `state = "on"`, `section "zones" line 5 key "zone.state": is "on": expected one of "in", "out"`},
		{"zones", `state = "in"`, `state = "out"`, `section "zones" line 2 key "zone.state": no zone is in service`},
		{"zones", `state = "out"`, "state = \"out\"\n[[zone]]\nname = \"osorno\"\nregion = \"x\"\nstate = \"in\"", `section "zones" line 11 key "zone.name": "osorno" is already defined in section "zones" line 3`},
		{"zones", `region = "south"`, "region = \"south\"\nregoin = 1", `section "zones" line 5 key "zone.regoin": unknown key`},
		{"zones", `kind = "zones"`, `kind = "owners"`, `section "zones" line 1 key "kind": is "owners": expected one of "zones"`},
		{"zones", `name = "osorno"`, `name = `, `section "zones" line 3: invalid TOML`},
		{"index.finder.1", `slots = 2`, `slots = "2"`, `line 5 key "limits.slots": is a string: expected an integer from 1`},
		{"index.finder.1", `slots = 2`, `slots = 0`, `line 5 key "limits.slots": is 0: expected an integer from 1`},
		{"index.finder.1", `slots = 2`, `slots = 6`, `line 5 key "limits.slots": is 6: expected at most 5`},
		{"index.finder.1", `connections = 25`, `connections = 8`, `line 6 key "limits.connections": is 8: expected an integer from 9`},
		{"index.finder.1", `"2s"`, `"2"`, `line 7 key "limits.run_limit": is "2": expected a duration with a unit`},
		{"index.finder.1", `"2s"`, `"0"`, `line 7 key "limits.run_limit": is "0": expected a duration with a unit`},
		{"index.finder.1", `weight = 10`, `weight = 010`, `line 10`},
		{"index.finder.1", `weight = 10`, `weight = -1`, `line 10 key "shard.weight": is -1: expected an integer from 1`},
		{"index.finder.1", `zone = "osorno"`, `zone = "temuco"`, `line 13 key "shard.leaf.zone": "temuco" is unknown`},
		{"index.finder.1", `127.0.0.1:7001`, `leaf-a:7001`, `line 14 key "shard.leaf.address": is "leaf-a:7001": expected an IP number and a port`},
		{"index.finder.1", `finder-0-b`, `finder-0-a`, `line 16 key "shard.leaf.name": "finder-0-a" is already defined in section "index.finder.1" line 12`},
		{"index.finder.1", `index = "finder"`, `index = "roster"`, `line 2 key "index": is "roster": expected "finder" as in the section's name`},
		{"index.finder.2", `finder-1"`, `finder-0"`, `line 9 key "shard.name": "finder-0" is already defined in section "index.finder.1" line 9`},
		{"index.finder.2", `:7003`, `:7001`, `line 14 key "shard.leaf.address": "127.0.0.1:7001" is already defined in section "index.finder.1" line 14`},
		{"index.finder.2", `partition_generation = 3`, `partition_generation = 4`, `line 3 key "partition_generation": is 4: expected 3 as in section "index.finder.1" line 3`},
		{"index.finder.2", `"2s"`, `"3s"`, `line 7 key "limits.run_limit": is 3s: expected 2s as in section "index.finder.1"`},
		{"classes", `index = "finder"`, `index = "roster"`, `line 4 key "class.index": "roster" is unknown`},
		{"classes", `"80ms"`, `"201ms"`, `line 8 key "class.latency_target": is 201ms: expected at most the deadline, 200ms`},
		{"classes", `submits = true`, "submits = true\nsubmits = false", `line 11 key "class.submits": is already defined on line 10`},
		{"owners", `"owners"` + "\nteam", `"zones"` + "\nteam", `line 2 key "owner": no row has section "owners"`},
		{"owners", `"index.*"`, `"zones.*"`, `line 6 key "owner.section": is "zones.*": expected a section name or a prefix`},
	}
	for _, row := range rows {
		_, problems := Check(sampleWith(row.section, row.old, row.text))
		assert.Equal(t, len(problems), 1, "%s: %v", row.text, problems)
		assert.Assert(t, strings.Contains(problems[0].String(), row.want), "%s: got %s", row.text, problems[0])
		assert.Equal(t, problems[0].Section, row.section)
	}
}

// Guards against a check that stops at the first fault.
func TestAllProblemsAreReported(t *testing.T) {
	sections := sampleWith("zones", `name = "osorno"`, "name = 3\nextra = 1")
	for i, s := range sections {
		sections[i].Text = []byte(strings.ReplaceAll(string(s.Text), `"127.0.0.1:`, `"localhost:`))
	}
	sections = append(sections, Section{Name: "index.a/b"}, Section{Name: "zones"})
	_, problems := Check(sections)
	for _, want := range []string{"zone.name", "zone.extra", "shard.leaf.address", "unknown name", "twice"} {
		assert.Assert(t, strings.Contains(problems.Error(), want), "%s is missing in %v", want, problems)
	}
	assert.Equal(t, strings.Count(problems.Error(), "localhost"), 3)
}

// Guards against a team that gains the right to edit another team's section: by
// a broader pattern, by the content of a section that it owns, or because the
// owner list can't be read.
func TestMayEdit(t *testing.T) {
	rows := []struct {
		section, team string
		want          bool
	}{
		{"owners", "platform", true},
		{"owners", "search", false},
		{"index.roster", "search", true},
		{"index.finder", "courses", true},
		{"index.finder.2", "courses", true},
		{"index.finder.2", "search", false},
		{"index", "search", false},
		{"zones", "search", false},
	}
	for _, row := range rows {
		assert.Equal(t, MayEdit(sample(), row.section, row.team), row.want, "%+v", row)
	}
	assert.Assert(t, !MayEdit(sampleWith("owners", `kind`, `=`), "owners", "platform"))
	assert.Assert(t, MayEdit(nil, "zones", "anyone"))
	_, problems := Check(append(sample(), Section{Name: "index.roster", Text: []byte(ownersText)}))
	assert.Assert(t, strings.Contains(problems.Error(), `key "kind": is "owners"`))
}

// Guards against a panic or quadratic run time on malicious input.
func TestHostileTexts(t *testing.T) {
	start := time.Now()
	for _, text := range []string{
		strings.Repeat("[", MaxSectionBytes),
		"a = " + strings.Repeat("[", MaxSectionBytes-10),
		"a = " + strings.Repeat("{a=", MaxSectionBytes/3-10),
		strings.Repeat("a.", MaxSectionBytes/2-10) + "a = 1",
		strings.Repeat("[[shard]]\n", MaxSectionBytes/10),
		"\xff\xfe", "a = \"\x00\"", strings.Repeat("\n", MaxSectionBytes+1),
	} {
		_, problems := Check([]Section{{Name: "zones", Text: []byte(text)}})
		assert.Assert(t, len(problems) > 0)
	}
	var keys strings.Builder
	for i := range 60_000 {
		keys.WriteString("k" + strings.Repeat("x", i%7) + time.Duration(i).String() + " = 1\n")
	}
	_, problems := Check([]Section{{Name: "zones", Text: []byte(keys.String())}})
	assert.Assert(t, len(problems) > 0)
	assert.Assert(t, time.Since(start) < time.Minute)
}

func FuzzCheck(f *testing.F) {
	for _, s := range sample() {
		f.Add(s.Name, s.Text)
	}
	f.Add("index.finder.3", []byte("kind=\"index\"\nshard=[1,{leaf={a=[]}}]\n[shard.x]\n[[shard]]"))
	f.Fuzz(func(t *testing.T, name string, text []byte) {
		topo, problems := Check(append(sample(), Section{Name: name, Text: text}))
		if (topo == nil) != (len(problems) > 0) {
			t.Fatalf("topology %v beside %d problems", topo != nil, len(problems))
		}
		for _, p := range problems {
			if p.Message == "" || p.Line < 0 || p.Line > strings.Count(string(text), "\n")+100 {
				t.Fatalf("problem without message or line: %+v", p)
			}
		}
		MayEdit([]Section{{Name: "owners", Text: text}}, name, "team")
	})
}

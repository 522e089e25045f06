package main

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	goodZones = "kind = \"zones\"\n[[zone]]\nname = \"osorno\"\nregion = \"south\"\nstate = \"in\"\n" +
		"[[zone]]\nname = \"valdivia\"\nregion = \"south\"\nstate = \"in\"\n"
	badZones = "kind = \"zones\"\n[[zone]]\nname = \"osorno\"\nregion = \"south\"\nstate = \"off\"\n"
)

// Guards against changed exit codes, which scripts rely on, and against refusals
// that do not tell the operator what to do. The rows run in order on one platform.
func TestExitCodes(t *testing.T) {
	f := startFakes(t)
	good, bad := f.file("good.toml", goodZones), f.file("bad.toml", badZones)
	rows := []struct {
		args string
		code int
		want string
	}{
		{"", 2, "usage: medlarctl COMMAND"},
		{"sectoin list", 2, `unknown command "sectoin"`},
		{"section", 2, "expected one of list, get, put"},
		{"section lst", 2, "usage: medlarctl section COMMAND"},
		{"section get", 2, "argument SECTION is missing"},
		{"section put zones", 2, "argument FILE is missing"},
		{"section list extra", 2, `argument "extra" is unexpected`},
		{"zone outt osorno", 2, `unknown command "outt"`},
		{"zone out", 2, "argument ZONE is missing"},
		{"query x", 2, "usage: medlarctl query --entry IP:PORT --class CLASS"},
		{"timeline --last x", 2, "usage: medlarctl timeline"},
		{"--output yaml status", 2, "expected text or json"},
		{"--bogus status", 2, "usage: medlarctl"},
		{"--platform foo status", 2, "expected the platform's URL"},
		{"help nope", 2, "nope"},
		{"--team= zone out osorno", 2, "the team is missing"},
		{"--team= section put zones " + good, 2, "the team is missing"},
		{"--team= section check zones " + good, 2, "the team is missing"},
		{"submit --entry 127.0.0.1:1 --class finder x", 1, "the request did not run"},
		{"--platform http://127.0.0.1:1 status", 1, "store at http://127.0.0.1:1"},
		{"section put zones " + bad, 3, `line 5 key "zone.state"`},
		{"section check zones " + bad, 3, "nothing was changed"},
		{"section check zones " + good, 0, ""},
		{"section put zones nofile", 3, "nothing was changed"},
		{"section put zones " + good, 0, ""},
		{"section put zones --from other " + good, 3, "expected an edit of the current version"},
		{"section get nope", 1, "section list"},
		{"zone out nope", 1, "nothing was changed"},
		{"zone out osorno", 0, ""},
		{"zone out osorno", 0, ""},
		{"zone out valdivia", 3, "no zone is in service"},
		{"query --entry ENTRY --class nope x", 1, "step: plan at entry vm-1; the request did not run"},
		{"query --entry 127.0.0.1:1 --class finder x", 1, "check --entry"},
		{"submit --entry ENTRY --class nope x", 1, "repeat with: --ticket T"},
		{"query --entry ENTRY --class finder x", 0, ""},
	}
	for _, row := range rows {
		t.Run(row.args, func(t *testing.T) {
			_, message, code := f.run(strings.Fields(strings.ReplaceAll(row.args, "ENTRY", f.host))...)
			assert.Equal(t, code, row.code, message)
			assert.Assert(t, strings.Contains(message, row.want), message)
		})
	}
}

// Guards against output that is not valid JSON or lacks a field that scripts read.
func TestJSONOutput(t *testing.T) {
	f := startFakes(t)
	good := f.file("good.toml", goodZones)
	rows := []struct{ args, want string }{
		{"section list", `"generation"`},
		{"section history", "[]"},
		{"section check zones " + good, `"valid": true`},
		{"section put zones " + good, `"generation": 1`},
		{"section diff zones " + good, `"added": []`},
		{"section list", `"name": "zones"`},
		{"section get zones", `"text"`},
		{"section history zones", `"team": "operations"`},
		{"section history other", "[]"},
		{"zone out osorno", `"generation": 2`},
		{"zone in osorno", `"generation": 3`},
		{"zone in osorno", `"changed": false`},
		{"status", `"vm": "vm-1"`},
		{"timeline", `"kind": "started"`},
		{"timeline --kind none", "[]"},
		{"query --entry ENTRY --class finder x", `"request_id": "r"`},
		{"submit --entry ENTRY --class finder x", `"outcome": "not-run"`},
		{"submit --entry ENTRY --class finder x", `"ticket": "T"`},
	}
	for _, row := range rows {
		t.Run(row.args, func(t *testing.T) {
			args := strings.Fields("--output json " + strings.ReplaceAll(row.args, "ENTRY", f.host))
			out, message, code := f.run(args...)
			assert.Equal(t, code, 0, message)
			assert.Assert(t, json.Valid([]byte(out)), out)
			assert.Assert(t, strings.Contains(out, row.want), out)
		})
	}
}

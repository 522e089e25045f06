package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const commonText = `vm = "vm-1"
zone = "osorno"
admin = "127.0.0.1:9001"
agent = "127.0.0.1:9002"
drain_delay = "2s"
log_verbosity = 1
`

const (
	entryText = commonText + "callers = \"127.0.0.1:9003\"\nframes = \"127.0.0.1:9004\"\nmax_queries = 100\nmax_tickets = 1_000\n"
	relayText = commonText + "frames = \"[::1]:9004\"\n"
	agentText = commonText + "platform = \"http://127.0.0.1:9100\"\npoll_interval = \"1s\"\npeers = [\"127.0.0.1:9202\"]\n"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against settings that are read into the wrong field or not read.
func TestLoad(t *testing.T) {
	entry, err := Load[Entry](writeSettings(t, entryText))
	assert.NilError(t, err)
	assert.DeepEqual(t, entry, Entry{
		Common: Common{
			VM: "vm-1", Zone: "osorno", Admin: "127.0.0.1:9001", Agent: "127.0.0.1:9002",
			DrainDelay: 2 * time.Second, LogVerbosity: 1,
		},
		Callers: "127.0.0.1:9003", Frames: "127.0.0.1:9004", MaxQueries: 100, MaxTickets: 1000,
	})
	relay, err := Load[Relay](writeSettings(t, relayText))
	assert.NilError(t, err)
	assert.Equal(t, relay.Frames, "[::1]:9004")
	agent, err := Load[Agent](writeSettings(t, agentText))
	assert.NilError(t, err)
	assert.DeepEqual(t, agent.Peers, []string{"127.0.0.1:9202"})
	agent, err = Load[Agent](writeSettings(t, strings.Replace(agentText, `"127.0.0.1:9202"`, "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, len(agent.Peers), 0)
	_, err = Load[Relay](filepath.Join(t.TempDir(), "absent.toml"))
	assert.ErrorContains(t, err, "absent.toml")
}

// Guards against a process that starts with a misspelled or invalid setting.
func TestFaults(t *testing.T) {
	load := func(text string) error {
		if strings.Contains(text, "platform") {
			_, err := Load[Agent](writeSettings(t, text))
			return err
		}
		_, err := Load[Entry](writeSettings(t, text))
		return err
	}
	rows := []struct{ text, old, new, want string }{
		{entryText, `"2s"`, `"2"`, `settings.toml line 5: key "drain_delay": is "2": expected a duration with a unit`},
		{entryText, `"2s"`, `2`, `line 5: key "drain_delay": is an integer: expected a duration`},
		{entryText, `9003`, `9004`, `line 8: key "frames": is 127.0.0.1:9004 as "callers"`},
		{entryText, `127.0.0.1:9003`, `localhost:9003`, `line 7: key "callers": is "localhost:9003": expected an IP number and a port`},
		{entryText, `127.0.0.1:9003`, `0.0.0.0:9003`, `line 7: key "callers"`},
		{entryText, `max_queries = 100`, `max_querys = 100`, `line 9: key "max_querys": unknown key`},
		{entryText, `max_queries = 100`, `max_querys = 100`, `key "max_queries": is missing: expected an integer from 1`},
		{entryText, `max_queries = 100`, `max_queries = 0`, `line 9: key "max_queries": is 0`},
		{entryText, `zone =`, `zone`, `line 2: invalid TOML`},
		{agentText, `http://127.0.0.1:9100`, `http://store:9100`, `line 7: key "platform": is "http://store:9100"`},
		{agentText, `127.0.0.1:9202`, `peer:9202`, `line 9: key "peers": holds "peer:9202"`},
		{agentText, `"127.0.0.1:9202"`, `3`, `line 9: key "peers": holds an integer: expected an array of strings`},
	}
	for _, row := range rows {
		err := load(strings.Replace(row.text, row.old, row.new, 1))
		assert.Assert(t, err != nil, "%s is accepted", row.new)
		assert.Assert(t, strings.Contains(err.Error(), row.want), "got %v", err)
	}
}

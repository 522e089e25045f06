package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/servicedoc"
	"github.com/medlarswitch/medlarswitch/internal/settings"
)

// Guards against examples of settings, on the operations page or in the help
// texts, that the programs reject because the settings have changed since.
func TestExamplesOfSettings(t *testing.T) {
	page := readFile(t, "../../docs/OPERATIONS.md")
	rows := []struct {
		program string
		load    func(path string) error
	}{
		{"agent", loadSettings[settings.Agent]},
		{"relay", loadSettings[settings.Relay]},
		{"entry", loadSettings[settings.Entry]},
		{"node", loadSettings[settings.Node]},
	}
	for _, row := range rows {
		t.Run(row.program, func(t *testing.T) {
			onPage := textBetween(t, page, "### "+row.program+".toml\n\n```toml\n", "```")
			assert.NilError(t, row.load(writeSettings(t, onPage)))
			main := readFile(t, "../../cmd/medlar-"+row.program+"/main.go")
			inHelp := textBetween(t, main, "Settings (TOML):\n", "`")
			assert.NilError(t, row.load(writeSettings(t, inHelp)))
		})
	}
}

// Guards against an example of the service document that the check rejects.
func TestExampleOfServiceDocument(t *testing.T) {
	page := readFile(t, "../../docs/OPERATIONS.md")
	var sections []servicedoc.Section
	for _, name := range []string{"zones", "owners", "index.roster", "classes"} {
		text := textBetween(t, page, "```toml\n# section "+name+"\n", "```")
		sections = append(sections, servicedoc.Section{Name: name, Text: []byte(text)})
	}
	_, problems := servicedoc.Check(sections)
	assert.NilError(t, problems.Err())
}

func loadSettings[T any, V settings.TableReader[T]](path string) error {
	_, err := settings.Load[T, V](path)
	return err
}

func readFile(t *testing.T, path string) string {
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func textBetween(t *testing.T, text, start, end string) string {
	_, rest, ok := strings.Cut(text, start)
	assert.Assert(t, ok, "no example after %q", start)
	found, _, ok := strings.Cut(rest, end)
	assert.Assert(t, ok, "no end of the example after %q", start)
	return found
}

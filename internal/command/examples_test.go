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

// An example of settings that the program refuses stops every newcomer. The
// page and the help texts must follow the settings.
func TestExamplesOfSettings(t *testing.T) {
	page := read(t, "../../docs/OPERATIONS.md")
	rows := []struct {
		program string
		load    func(path string) error
	}{
		{"agent", load[settings.Agent]},
		{"relay", load[settings.Relay]},
		{"entry", load[settings.Entry]},
		{"node", load[settings.Node]},
	}
	for _, row := range rows {
		t.Run(row.program, func(t *testing.T) {
			onPage := between(t, page, "### "+row.program+".toml\n\n```toml\n", "```")
			assert.NilError(t, row.load(write(t, onPage)))
			main := read(t, "../../cmd/medlar-"+row.program+"/main.go")
			inHelp := between(t, main, "Settings (TOML):\n", "`")
			assert.NilError(t, row.load(write(t, inHelp)))
		})
	}
}

// An example of the service document that is refused stops the first edit.
func TestExampleOfServiceDocument(t *testing.T) {
	page := read(t, "../../docs/OPERATIONS.md")
	var sections []servicedoc.Section
	for _, name := range []string{"zones", "owners", "index.roster", "classes"} {
		text := between(t, page, "```toml\n# section "+name+"\n", "```")
		sections = append(sections, servicedoc.Section{Name: name, Text: []byte(text)})
	}
	_, problems := servicedoc.Check(sections)
	assert.NilError(t, problems.Err())
}

func load[T any, V settings.TableReader[T]](path string) error {
	_, err := settings.Load[T, V](path)
	return err
}

func read(t *testing.T, path string) string {
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func between(t *testing.T, text, start, end string) string {
	_, rest, ok := strings.Cut(text, start)
	assert.Assert(t, ok, "no example after %q", start)
	found, _, ok := strings.Cut(rest, end)
	assert.Assert(t, ok, "no end of the example after %q", start)
	return found
}

package command

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/medlarswitch/medlarswitch/internal/settings"
)

// Guards against exit codes by which a supervisor can't distinguish invalid
// settings (3) from a wrong command line (2), and against a --check that omits a
// problem or starts the program.
func TestDaemonExitCodes(t *testing.T) {
	dir := t.TempDir()
	const good = "vm = \"v\"\nzone = \"z\"\nadmin = \"10.0.0.1:1\"\nagent = \"10.0.0.1:2\"\nframes = \"10.0.0.1:3\"\ndrain_delay = \"1s\"\nlog_verbosity = 0\n"
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	badPath := file("bad", strings.Replace(good, "zone", "zoen", 1)+"extra = 1\n")
	rows := []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"no settings", nil, 2, []string{"usage: medlar-test"}},
		{"unknown flag", []string{"--bogus"}, 2, []string{"usage: medlar-test"}},
		{"argument", []string{"--settings", file("good", good), "extra"}, 2, []string{"unexpected"}},
		{"valid", []string{"--settings", file("good", good), "--check"}, 0, nil},
		{"no file", []string{"--settings", dir + "/none", "--check"}, 3, []string{"no such file"}},
		{"every problem", []string{"--settings", badPath, "--check"}, 3, []string{
			badPath + ` line 1: key "zone": is missing: expected`, `line 2: key "zoen": unknown key`, `line 8: key "extra"`,
		}},
		{"run fails", []string{"--settings", file("good", good)}, 1, []string{"context canceled"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := Daemon{Name: "medlar-test", Load: func(path string) (func(context.Context) error, int, error) {
				_, err := settings.Load[settings.Relay](path)
				return func(context.Context) error { return context.Canceled }, 0, err
			}}
			err := d.run(append([]string{d.Name}, row.args...))
			assert.Equal(t, ExitCode(err), row.code)
			for _, want := range row.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

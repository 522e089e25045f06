package harness

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"os"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// Medlarctl runs medlarctl on behalf of a team and returns its output.
func (c *Cluster) Medlarctl(ctx context.Context, team string, args ...string) (string, error) {
	args = append([]string{"--platform", c.Fleet.PlatformURL(), "--team", team}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(c.opts.Bin, "medlarctl"), args...).CombinedOutput()
	return string(out), errors.Wrapf(err, "medlarctl %s: %s", strings.Join(args, " "), out)
}

// Timeline returns the latest events of all processes that match the selection
// flags of medlarctl, or the error of medlarctl.
func (c *Cluster) Timeline(ctx context.Context, selection ...string) string {
	out, err := c.Medlarctl(ctx, "operations", append([]string{"timeline", "--last", "400"}, selection...)...)
	if err != nil {
		return err.Error()
	}
	return out
}

// PutSection edits a section with medlarctl.
func (c *Cluster) PutSection(ctx context.Context, s standin.Section) (string, error) {
	path := filepath.Join(c.opts.Dir, s.Name+".section.toml")
	if err := os.WriteFile(path, []byte(s.Text), 0o644); err != nil {
		return "", err
	}
	return c.Medlarctl(ctx, s.Team, "section", "put", s.Name, path)
}

// PutAllSections writes the first version of every section.
func (c *Cluster) PutAllSections(ctx context.Context) error {
	for _, s := range c.Fleet.Sections {
		if _, err := c.PutSection(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

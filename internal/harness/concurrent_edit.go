package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// PutSectionConcurrently edits a section with medlarctl. Each n has its own input
// file, so that several edits of one section can run at the same time.
func (c *Cluster) PutSectionConcurrently(ctx context.Context, s standin.Section, n int) (string, error) {
	path := filepath.Join(c.opts.Dir, fmt.Sprintf("%s.%d.toml", s.Name, n))
	if err := os.WriteFile(path, []byte(s.Text), 0o644); err != nil {
		return "", err
	}
	return c.Medlarctl(ctx, s.Team, "section", "put", s.Name, path)
}

// Package callers runs medlar-node as a process and lets crowds of callers send it what takes
// memory, descriptors and time.
package callers

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the program under test. It has no race detector, which takes memory of its own.
var program string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "medlar-callers-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "medlar-node")
	build := exec.Command("go", "build", "-o", program, "github.com/medlarswitch/medlarswitch/cmd/medlar-node")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

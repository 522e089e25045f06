// Package process_test runs the real processes on loopback under faults.
package process_test

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the directory of the programs under test.
var bin = os.Getenv("MEDLAR_BIN")

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	// Programs with the race detector end 1 s late, which would hide how soon
	// after an edit something happens. They inherit this setting.
	if err := os.Setenv("GORACE", "atexit_sleep_ms=0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if bin != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "medlar-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-race", "-o", dir, "../../cmd/...")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

// Package knownred lets a test pass over a case that KNOWN-RED.txt lists, so
// that the plain test command succeeds and a new failure is seen at once. The
// environment variable GODWITLOCK_KNOWN_RED=run runs the listed cases too.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// listFile is the list at the root of the repository.
const listFile = "KNOWN-RED.txt"

// Skip skips t when the list has a line "skip: <name of t>".
func Skip(t *testing.T) {
	t.Helper()
	if os.Getenv("GODWITLOCK_KNOWN_RED") == "run" {
		return
	}
	for _, line := range strings.Split(readList(t), "\n") {
		if name, ok := strings.CutPrefix(line, "skip:"); ok && strings.TrimSpace(name) == t.Name() {
			t.Skipf("known failure, see %s", listFile)
		}
	}
}

// readList returns the list, which lies in the nearest parent that has a go.mod.
func readList(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			break
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("no go.mod above the test's directory")
		}
		dir = parent
	}
	data, err := os.ReadFile(filepath.Join(dir, listFile))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(data)
}

// Package knownred skips the tests that KNOWN-RED.txt lists as known failures, so
// that a plain "go test" succeeds and new failures are easy to see. With the
// environment variable GODWITLOCK_KNOWN_RED=run the listed tests run too.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// listFile is the name of the list in the root directory of the repository.
const listFile = "KNOWN-RED.txt"

// Skip skips t if the list has a line "skip: <name of t>" and
// GODWITLOCK_KNOWN_RED is not "run". It fails t if the list cannot be read.
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

// readList returns the text of the list, or "" if there is none. The list is in
// the nearest directory with a go.mod, starting from the working directory.
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
			t.Fatal("no go.mod in the test's directory or its parents")
		}
		dir = parent
	}
	data, err := os.ReadFile(filepath.Join(dir, listFile))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(data)
}

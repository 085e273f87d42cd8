package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
)

// Guards against violated guarantees under the faults of the scenarios in testdata.
// SCENARIO_LOG=1 prints the daemons' logs. A failure that KNOWN-RED.txt lists as
// "TestScenarios/<name>: <command>" is logged and doesn't fail the test.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	knownRed, err := os.ReadFile("../KNOWN-RED.txt")
	require.NoError(t, err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			knownred.Skip(t)
			script, err := os.ReadFile(file)
			require.NoError(t, err)
			log := zerolog.Nop()
			if os.Getenv("SCENARIO_LOG") != "" {
				log = zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
			}
			name := t.Name()
			synctest.Test(t, func(t *testing.T) {
				for _, f := range Run(string(script), log, t.Logf) {
					if strings.Contains("\n"+string(knownRed), "\n"+name+": "+f.Command+"\n") {
						t.Logf("KNOWN RED: %s: %v", f.Command, f.Err)
					} else {
						t.Errorf("%s: %v", f.Command, f.Err)
					}
				}
			})
		})
	}
}

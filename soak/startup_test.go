package soak

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// Guards against a SIGHUP that ends a process which is still reading its settings.
func TestHangupDuringStartDoesNotEndTheProcess(t *testing.T) {
	// Opening a named pipe for writing returns when the process opens it for reading.
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	cmd := exec.Command(nodeBinary)
	cmd.Env = append(os.Environ(), "GODWITLOCK_NODE_FILE="+path)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	addrs := freeAddrs(t, 5)
	_, _ = io.WriteString(settings, site.Settings("vm", "z0", site.Addresses{
		Front: addrs[0], Ready: addrs[1], InternalPorts: portRange(addrs[2], addrs[3]), Store: addrs[4],
	}, site.Limits{}))
	require.NoError(t, settings.Close())

	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"event":"started"`) {
			return
		}
	}
	t.Fatal("process ended without starting")
}

// portRange returns the ports of two addresses, the lower one first, as the settings
// take them. They need not be adjacent.
func portRange(a, b string) [2]string {
	p := [2]string{port(a), port(b)}
	if len(p[0]) > len(p[1]) || len(p[0]) == len(p[1]) && p[0] > p[1] {
		p[0], p[1] = p[1], p[0]
	}
	return p
}

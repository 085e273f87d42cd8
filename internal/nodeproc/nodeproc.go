// Package nodeproc builds and starts godwitlock-node processes for tests.
package nodeproc

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/platform"
)

// mainPackage is the package of the program.
const mainPackage = "godwitlock.example/godwitlock/cmd/godwitlock-node"

// Build builds the program in dir and returns its path.
func Build(dir string, flags ...string) (string, error) {
	binary := filepath.Join(dir, "godwitlock-node")
	args := append([]string{"build", "-o", binary}, flags...)
	out, err := exec.Command("go", append(args, mainPackage)...).CombinedOutput()
	return binary, errors.Annotatef(err, "building the program: %s", out)
}

// Command returns the command that runs the program with a settings file and
// writes its output to log.
func Command(binary, settings string, log io.Writer) *exec.Cmd {
	cmd := exec.Command(binary)
	// The race detector would delay each exit by 1 s.
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+settings, "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = log, log
	return cmd
}

// Process is a running process.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts cmd.
func Start(cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.exited) }()
	return p, nil
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

func (p *Process) procFile(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// PeakMemory returns the highest resident memory of the process so far, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	data, err := os.ReadFile(p.procFile("status"))
	if err != nil {
		return 0, err
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kib, err := strconv.ParseInt(string(bytes.TrimSpace(bytes.TrimSuffix(value, []byte("kB")))), 10, 64)
			return kib << 10, err
		}
	}
	return 0, errors.NotFoundf("VmHWM")
}

// OpenFiles returns the number of open file descriptors of the process.
func (p *Process) OpenFiles() (int, error) {
	entries, err := os.ReadDir(p.procFile("fd"))
	return len(entries), err
}

// Package process builds and starts the programs for tests that run real processes. It is not
// part of the product.
//
// # Usage
//
//	bin := process.Build(t)
//	p := process.Start(t, filepath.Join(bin, "standin"), "platform", "--address", "127.0.0.1:0")
//	address := p.WaitForLine(t, "listening ")
package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startTimeout limits the wait for a line of output. It is generous because the race detector and
// a busy machine slow down process starts.
const startTimeout = 60 * time.Second

// ModuleRoot returns the root directory of the module.
func ModuleRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pollenspindle-bin-")
	if err != nil {
		return "", err
	}
	cmd := exec.CommandContext(context.Background(), "go", "build", "-o", dir, "./cmd/...", "./examples/...", "./test/cutinstance")
	cmd.Dir = ModuleRoot()
	if out, err := cmd.CombinedOutput(); err != nil {
		return string(out), err
	}
	return dir, nil
})

// Build builds all programs once per test binary and returns their directory.
func Build(t testing.TB) string {
	t.Helper()
	dir, err := build()
	require.NoError(t, err, dir)
	return dir
}

// Process is a running program.
type Process struct {
	Name string

	cmd   *exec.Cmd
	mu    sync.Mutex
	lines []string
	done  chan struct{}
	err   error
}

// Start starts a program and kills it when the test ends. If the test fails, the program's output
// is written to the test log.
func Start(t testing.TB, path string, args ...string) *Process {
	t.Helper()
	p := &Process{
		Name: filepath.Base(path) + " " + strings.Join(args[:min(1, len(args))], " "),
		cmd:  exec.CommandContext(context.Background(), path, args...),
		done: make(chan struct{}),
	}
	r, w := io.Pipe()
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	require.NoError(t, p.cmd.Start())
	go p.collectOutput(r)
	go func() {
		p.err = p.cmd.Wait()
		w.Close()
		close(p.done)
	}()
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

func (p *Process) collectOutput(r io.Reader) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, s.Text())
		p.mu.Unlock()
	}
	// Keep draining the pipe so that the program never blocks on a write.
	_, _ = io.Copy(io.Discard, r)
}

func (p *Process) cleanup(t testing.TB) {
	p.Kill()
	if t.Failed() {
		t.Logf("output of %s:\n%s", p.Name, strings.Join(p.Output(), "\n"))
	}
}

// Output returns the lines printed so far.
func (p *Process) Output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// WaitForLine waits for a line that starts with prefix and returns the remainder of the line.
func (p *Process) WaitForLine(t testing.TB, prefix string) string {
	t.Helper()
	var remainder string
	require.Eventually(t, func() bool {
		for _, line := range p.Output() {
			if r, ok := strings.CutPrefix(line, prefix); ok {
				remainder = r
				return true
			}
		}
		return false
	}, startTimeout, 5*time.Millisecond, "no line %q from %s: %v", prefix, p.Name, p)
	return remainder
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed once the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends sig to the process.
func (p *Process) Signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(sig))
}

// SignalIfRunning sends sig to the process and reports whether it hasn't exited.
func (p *Process) SignalIfRunning(t testing.TB, sig syscall.Signal) bool {
	t.Helper()
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return false
	}
	require.NoError(t, err)
	return true
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM, waits for the process to exit and returns its exit code.
func (p *Process) Stop(t testing.TB) int {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	return p.Wait(t)
}

// Wait waits for the process to exit and returns its exit code.
func (p *Process) Wait(t testing.TB) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(2 * startTimeout):
		require.Fail(t, "process does not exit", p.Name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// WaitForHandler waits until the process handles or ignores sig. Before, the program hasn't begun.
func (p *Process) WaitForHandler(t testing.TB, sig syscall.Signal) {
	t.Helper()
	require.Eventually(t, func() bool { return p.Exited() || p.handles(sig) }, startTimeout, time.Millisecond/10, "%s doesn't handle %v", p.Name, sig)
}

// handles reports whether the process handles or ignores sig.
func (p *Process) handles(sig syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if (name == "SigIgn" || name == "SigCgt") && err == nil && mask&(1<<(sig-1)) != 0 {
			return true
		}
	}
	return false
}

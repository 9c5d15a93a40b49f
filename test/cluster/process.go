package cluster

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	pollTimeout  = time.Second
)

// Process is a process of the cluster. Signals are sent only to processes that it started.
type Process struct {
	name       string
	path       string
	args       []string
	outputPath string
	maxFiles   int // limit of file descriptors, 0 for that of the test
	cmd        *exec.Cmd
	exited     chan struct{}
}

// NewProcess returns a process that is not started yet.
func NewProcess(name, path, outputPath string, args ...string) *Process {
	return &Process{name: name, path: path, outputPath: outputPath, args: args}
}

// Name returns the name that the cluster gave to the process.
func (p *Process) Name() string { return p.name }

// OutputPath returns the path of the file that collects standard output and standard error.
func (p *Process) OutputPath() string { return p.outputPath }

// LimitFiles limits the file descriptors of the process, which hasn't started yet.
func (p *Process) LimitFiles(n int) { p.maxFiles = n }

// OpenFiles returns the number of open file descriptors of the process.
func (p *Process) OpenFiles() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	return len(all), err
}

// Start starts the process. It may be called again after the process has exited.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	c := exec.Command(p.path, p.args...)
	if p.maxFiles > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.maxFiles)
		c = exec.Command("/bin/sh", append([]string{"-c", script, p.path}, p.args...)...)
	}
	c.Stdout = f
	c.Stderr = f
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd = c
	p.exited = exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process and ignores errors.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume resumes a process after Suspend.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// awaitHTTP waits until a GET request to a URL returns status 200.
func awaitHTTP(url string) error {
	c := &http.Client{Timeout: pollTimeout}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		r, err := c.Get(url)
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s did not return status 200 within %v", url, startTimeout)
}

// Await polls until the condition holds or the timeout expires, and reports whether it held.
func Await(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

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
	startWait = 20 * time.Second
	pollPause = 10 * time.Millisecond
	pollWait  = time.Second
)

// Process is one process that the cluster started. Only such are signalled.
type Process struct {
	name   string
	path   string
	args   []string
	output string
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcess returns a process that is not started.
func NewProcess(name, path, output string, args ...string) *Process {
	return &Process{name: name, path: path, output: output, args: args}
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Output returns the file with what the process printed.
func (p *Process) Output() string { return p.output }

// Start starts the process, anew if it has ended.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	c := exec.Command(p.path, p.args...)
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

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Terminate asks the process to finish.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// awaitHTTP waits until a URL answers with 200.
func awaitHTTP(url string) error {
	c := &http.Client{Timeout: pollWait}
	deadline := time.Now().Add(startWait)
	for time.Now().Before(deadline) {
		r, err := c.Get(url)
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("%s did not answer within %v", url, startWait)
}

// Await polls until a condition holds or the time is over.
func Await(most time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(most)
	for {
		if holds() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollPause)
	}
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

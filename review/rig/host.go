package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is an entry host, started with the command of the deploy file.
type host struct {
	name, settings, log       string
	callers, readiness, peers string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

// freeAddress returns an address that nothing listens on. Its port is below those that the kernel picks for connections.
func freeAddress(ip string) string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 12000+rand.IntN(20000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
}

func newHost(dir, name, zone, store, extra string) *host {
	h := &host{name: name, settings: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log")}
	h.callers, h.readiness, h.peers = freeAddress("127.0.0.1"), freeAddress("127.0.0.1"), freeAddress("127.0.0.1")
	text := fmt.Sprintf(`[node]
name = %s
data-centre = %s

[listen]
callers = %s
readiness = %s
neighbours = %s
metrics = %s

[platform]
address = %s

[limits]
memory-mb = 284
cores = 1
descriptors = 4100

[bounds]
apply = 2500ms
strict-revocation = yes
revoke = 5000ms
grace = 8s
repeat-ratio = 0.8
repeat-window = 10s
repeat-extra = 150

[data-centre zone-a]
region = region-a

[data-centre zone-b]
region = region-a

%s`, name, zone, h.callers, h.readiness, h.peers, freeAddress("127.0.0.1"), store, extra)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return h
}

func (h *host) start() {
	f, err := os.OpenFile(h.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		panic(err)
	}
	h.cmd = exec.Command("target/cicadabeam", "entry")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADABEAM_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = f, f
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		panic(err)
	}
	h.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); _ = f.Close(); close(done) }(h.cmd, h.done)
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// ready reports whether the host says that it is ready, as the platform asks it.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (h *host) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return true
		}
	}
	return false
}

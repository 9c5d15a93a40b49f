// Package entryhost runs entry hosts as processes. Each host has its own IP address, as
// on the production platform.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(entryhost.BuildAndRun(m, &binary)) }
//	h, err := entryhost.New(binary, dir, "node-0", "a", store.Address())
//	err = h.Start()
//	h.Ready()
package entryhost

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"cicadabeam/test/cluster"
)

// Time limits of entry hosts, with the values used in the deployments. New writes
// ApplyLimit, RevokeLimit and GracePeriod to the settings; DrainLimit has no setting.
const (
	ApplyLimit  = 2500 * time.Millisecond
	RevokeLimit = 5 * time.Second
	DrainLimit  = 2500 * time.Millisecond
	GracePeriod = 8 * time.Second
)

// Host is an entry host process.
type Host struct {
	*cluster.Process
	callers   string
	readiness string
	metrics   string
	settings  string
	peers     string
	link      *cluster.Link // to the listener for other hosts, nil for none
}

// hostCounter numbers the addresses of this process. The IP address is derived from
// its number.
var hostCounter atomic.Int32

// Build compiles the cicadabeam command into dir and returns the path of the binary.
func Build(dir string) (string, error) {
	binary := filepath.Join(dir, "cicadabeam")
	build := exec.Command("go", "build", "-o", binary, "cicadabeam/cmd/cicadabeam")
	build.Stderr = os.Stderr
	return binary, build.Run()
}

// BuildAndRun builds the cicadabeam command in a temporary directory, stores its path in
// binary and runs the tests. It returns their exit code.
func BuildAndRun(tests interface{ Run() int }, binary *string) int {
	dir, err := os.MkdirTemp("", "cicadabeam-entry-host")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if *binary, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return tests.Run()
}

// New writes the settings file of a host and returns the host without starting it. The
// settings and the output of the process are stored in dir.
func New(binary, dir, name, dataCentre, store string) (*Host, error) {
	ip := NextAddress()
	h := &Host{peers: ip + ":8720", callers: ip + ":8740", readiness: ip + ":8749", metrics: ip + ":8721", settings: filepath.Join(dir, name+".ini")}
	text := fmt.Sprintf(`[node]
name = %s
data-centre = %s
[listen]
callers = %s
readiness = %s
neighbours = %s:8720
metrics = %s:8721
[platform]
address = %s
[servers]
source = %s
[bounds]
apply = %s
strict-revocation = yes
revoke = %s
grace = %s
repeat-ratio = 0.8
repeat-window = 10s
repeat-extra = 150
[data-centre a]
region = north
[data-centre b]
region = north
`, name, dataCentre, h.callers, h.readiness, ip, ip, store, ip, ApplyLimit, RevokeLimit, GracePeriod)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.Process = cluster.NewProcess(name, binary, filepath.Join(dir, name+".log"), "entry", "--settings", h.settings)
	return h, nil
}

// AddSettings adds sections to the settings of the host, which hasn't started yet.
func (h *Host) AddSettings(text string) error {
	f, err := os.OpenFile(h.settings, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// ChangeSetting replaces a text in the settings of a host that hasn't started yet.
func (h *Host) ChangeSetting(from, to string) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(strings.Replace(string(text), from, to, 1)), 0o600)
}

// AddLink makes other hosts connect to this one, which hasn't started yet, by a link.
func (h *Host) AddLink() error {
	var err error
	if h.link, err = cluster.NewLink(h.Name(), NextAddress()+":8720", h.peers); err != nil {
		return err
	}
	return h.ChangeSetting("[listen]\n", "[listen]\nadvertised = "+h.link.Address()+"\n")
}

// Link returns the link by which other hosts connect to this one, nil without AddLink.
func (h *Host) Link() *cluster.Link { return h.link }

// NextAddress returns a loopback address that no other host or server of this process has.
func NextAddress() string { return hostAddress(os.Getpid(), int(hostCounter.Add(1))) }

// hostAddress returns the n-th address of a test process. The process ID keeps the addresses
// of concurrent test processes on one machine apart. Those of test/cluster begin at 127.120.
func hostAddress(pid, n int) string {
	const hosts, blocks = 250, 100
	block := pid/256 + n/hosts*blocks/2
	return fmt.Sprintf("127.%d.%d.%d", 1+block%blocks, pid%256, 1+n%hosts)
}

// CallerAddress returns the address on which the host accepts requests of callers.
func (h *Host) CallerAddress() string { return h.callers }

// ReadinessAddress returns the address of the listener for readiness.
func (h *Host) ReadinessAddress() string { return h.readiness }

// MetricsAddress returns the address of the listener for metrics.
func (h *Host) MetricsAddress() string { return h.metrics }

// PeerAddress returns the address of the listener for other hosts.
func (h *Host) PeerAddress() string { return h.peers }

// Metrics returns what the host's metrics endpoint responds, empty if it doesn't.
func (h *Host) Metrics() string {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + h.metrics + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// SettingsPath returns the path of the settings file.
func (h *Host) SettingsPath() string { return h.settings }

// Ready reports whether the host is ready: its readiness endpoint responds with status 200.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + h.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Package entry runs entry hosts as real processes before stand-ins of the platform's
// store and of backend servers, and makes them fail.
package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// The bounds that the nodes are told, as in the deployments.
const (
	applyBound  = 2500 * time.Millisecond
	revokeBound = 5 * time.Second
	drainBound  = 2500 * time.Millisecond
	graceBound  = 8 * time.Second
	testWait    = 15 * time.Second
)

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadabeam-entry")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "cicadabeam")
	build := exec.Command("go", "build", "-o", binary, "cicadabeam/cmd/cicadabeam")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// system is a store, some nodes and the servers that tests add.
type system struct {
	t     *testing.T
	store *store.Store
	nodes []*node
}

type node struct {
	*cluster.Process
	callers   string
	readiness string
	settings  string
	front     *store.Front
}

var lastHost atomic.Int32

// start starts nodes in data centres a, b, a, b and so on.
func start(t *testing.T, nodes int) *system {
	t.Helper()
	x, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	s := &system{t: t, store: x}
	s.configure(1, []string{"key-1", "key-2"})
	for i := range nodes {
		s.nodes = append(s.nodes, s.node(i))
	}
	for _, n := range s.nodes {
		s.await(n.Name()+" is ready", testWait, n.ready)
	}
	return s
}

func (s *system) node(i int) *node {
	s.t.Helper()
	f, err := s.store.Front()
	if err != nil {
		s.t.Fatal(err)
	}
	ip := fmt.Sprintf("127.77.%d.%d", lastHost.Add(1), 10+i)
	n := &node{callers: ip + ":8740", readiness: ip + ":8749", front: f}
	n.settings = filepath.Join(s.t.TempDir(), "entry.ini")
	text := fmt.Sprintf(`[node]
name = node-%d
data-centre = %s
[listen]
callers = %s
readiness = %s
neighbours = %s:8720
metrics = %s:8721
[platform]
address = %s
[bounds]
apply = 2500ms
strict-revocation = yes
revoke = 5000ms
grace = 8s
repeat-ratio = 0.8
repeat-window = 10s
repeat-extra = 150
[data-centre a]
region = north
[data-centre b]
region = north
`, i, []string{"a", "b"}[i%2], n.callers, n.readiness, ip, ip, f.Address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	n.Process = cluster.NewProcess(fmt.Sprintf("node-%d", i), binary, filepath.Join(s.t.TempDir(), "output"), "entry", "--settings", n.settings)
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		n.Kill()
		if s.t.Failed() {
			b, _ := os.ReadFile(n.Output())
			s.t.Logf("%s:\n%s", n.Name(), b[max(0, len(b)-6000):])
		}
	})
	return n
}

func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *system) await(what string, most time.Duration, holds func() bool) {
	s.t.Helper()
	if !cluster.Await(most, holds) {
		s.t.Errorf("not within %v: %s", most, what)
	}
}

// configure writes a configuration: route /rN/ exists for each N up to the revision.
func (s *system) configure(revision int, keys []string) {
	s.t.Helper()
	routes := []map[string]any{
		{"Name": "buy", "Host": "test.example", "Prefix": "/buy/", "Type": "unsafe", "TimeoutMs": 4000, "GoalMs": 250, "Service": "orders", "MaxAttempts": 1},
		{"Name": "report", "Host": "test.example", "Prefix": "/report/", "Type": "stream", "Resumable": true, "TimeoutMs": 25000, "GoalMs": 4500, "Service": "llm", "MaxAttempts": 5},
	}
	for i := 1; i <= revision; i++ {
		routes = append(routes, map[string]any{
			"Name": "r", "Host": "test.example", "Prefix": fmt.Sprintf("/r%d/", i), "Type": "safe", "TimeoutMs": 2000, "GoalMs": 250,
			"Service": "orders", "MaxAttempts": 2, "Public": true,
		})
	}
	value, err := json.Marshal(map[string]any{
		"Version": revision, "Routes": routes,
		"Services": []map[string]any{
			{"Name": "orders", "MaxConns": 100},
			{"Name": "llm", "MaxConns": 100, "Engine": map[string]any{"Slots": 12, "KvCapacity": 88000, "Backups": true, "HandleS": 4}},
		},
		"Limits": map[string]any{"MaxBodyBytes": 1 << 20}, "Tenants": []map[string]any{{"Name": "ndox", "ApiKeys": keys}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("op", "config", value)
}

func (s *system) server(id, service string, steps ...backend.Step) *backend.Server {
	s.t.Helper()
	b, err := backend.Start("127.0.0.1:0", steps...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	s.register(id, service, b.Address(), "ready")
	return b
}

func (s *system) register(id, service, address, state string) {
	s.store.Put("servers", id, fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"a","Slots":6,"State":%q,"born":5,"Seq":1}`, service, address, state))
}

// do sends a request to a node. The status is 0 if there is no answer.
func (n *node) do(path, key string) (int, http.Header) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.callers+path, http.NoBody)
	if err != nil {
		return 0, nil
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "4000")
	r.Header.Set("X-Token-Usage", "800,90")
	r.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: testWait}
	defer c.CloseIdleConnections()
	response, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

func (s *system) awaitStatus(n *node, path, key string, status int, most time.Duration) {
	s.t.Helper()
	last := 0
	if !cluster.Await(most, func() bool { last, _ = n.do(path, key); return last == status }) {
		s.t.Errorf("%s: %s gives %d, not %d within %v", n.Name(), path, last, status, most)
	}
}

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	s := start(t, 4)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, testWait)
	}
	for revision := 2; revision <= 4; revision++ {
		s.configure(revision, []string{"key-1"})
		changed := time.Now()
		for _, n := range s.nodes {
			s.awaitStatus(n, fmt.Sprintf("/r%d/", revision), "", 200, applyBound-time.Since(changed))
			if status, _ := n.do("/buy/1", "key-2"); status != 401 {
				t.Errorf("%s: a key that was taken away gives %d", n.Name(), status)
			}
		}
	}
	s.configure(2, []string{"key-1", "key-2"}) // an older one must not come back
	time.Sleep(applyBound)
	for _, n := range s.nodes {
		if status, _ := n.do("/r4/", ""); status != 200 {
			t.Errorf("%s went back: %d", n.Name(), status)
		}
	}
}

// Several changes come in one answer of the feed; the newest counts.
func TestChangesDuringOutageAreTaken(t *testing.T) {
	for name, drop := range map[string]bool{"feed": false, "history lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			s.server("s1", "orders", backend.Answer(200, "ok"))
			s.store.Fail(store.Busy)
			time.Sleep(1500 * time.Millisecond)
			for revision := 2; revision <= 5; revision++ {
				s.configure(revision, []string{"key-1"})
			}
			if drop {
				s.store.DropHistory()
			}
			s.store.Fail(store.Well)
			back := time.Now()
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r5/", "", 200, applyBound-time.Since(back))
				s.awaitStatus(n, "/buy/1", "key-2", 401, time.Second)
			}
		})
	}
}

// Without proof that its key is valid no request runs, however the store fails.
func TestKeysNeedProof(t *testing.T) {
	for name, mode := range map[string]store.Mode{"busy": store.Busy, "silent": store.Silent, "reset": store.Reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			b := s.server("s1", "orders", backend.Answer(200, "ok"))
			s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testWait)
			s.store.Fail(mode)
			s.configure(2, nil)
			taken := time.Now()
			for time.Since(taken) < revokeBound+2*time.Second {
				for _, n := range s.nodes {
					sent := time.Now()
					runs := len(b.Requests())
					n.do("/buy/1", "key-1")
					if sent.Sub(taken) > revokeBound && len(b.Requests()) > runs {
						t.Fatalf("a request with a key taken away ran %v later", sent.Sub(taken))
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			status, header := s.nodes[0].do("/buy/1", "key-1")
			if status != 503 || header.Get("Retry-After") == "" {
				t.Errorf("without proof the status is %d, Retry-After %q", status, header.Get("Retry-After"))
			}
			s.await("not ready without proof", time.Second, func() bool { return !s.nodes[0].ready() })
		})
	}
}

// A node that alone is turned away by the store serves on, and learns of changes
// through the others.
func TestNeighboursHelpNodeWithoutStore(t *testing.T) {
	t.Parallel()
	s := start(t, 3)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	time.Sleep(1500 * time.Millisecond) // the nodes read each other's entries
	alone := s.nodes[2]
	alone.front.Fail(store.Silent)
	time.Sleep(time.Second)
	s.configure(2, []string{"key-1"})
	s.awaitStatus(alone, "/r2/", "", 200, applyBound)
	s.awaitStatus(alone, "/buy/1", "key-2", 401, time.Second)
	for began := time.Now(); time.Since(began) < revokeBound+2*time.Second; time.Sleep(200 * time.Millisecond) {
		if status, _ := alone.do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after it lost the store the node gives %d", time.Since(began), status)
		}
	}
	s.server("s2", "orders", backend.Answer(200, "ok"))
	s.store.Remove("servers", "s1")
	time.Sleep(applyBound)
	if status, _ := alone.do("/buy/1", "key-1"); status != 200 {
		t.Errorf("with a server that others know the node gives %d", status)
	}
}

// A node that was frozen believes nothing of what it knew.
func TestFrozenNodeWakes(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	b := s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/buy/1", "key-1", 200, testWait)
	runs := len(b.Requests())
	n.Freeze()
	s.configure(2, nil)
	time.Sleep(revokeBound + 500*time.Millisecond)
	s.store.Fail(store.Silent)
	done := make(chan int)
	go func() { status, _ := n.do("/buy/1", "key-1"); done <- status }()
	time.Sleep(100 * time.Millisecond)
	n.Thaw()
	if status := <-done; status != 503 && status != 401 {
		t.Errorf("the woken node gives %d", status)
	}
	if len(b.Requests()) != runs {
		t.Error("a request with a key taken away ran")
	}
}

func TestLeavingServerGetsNoWork(t *testing.T) {
	for name, leave := range map[string]func(s *system, address string){
		"draining": func(s *system, address string) { s.register("s1", "orders", address, "draining") },
		"gone":     func(s *system, _ string) { s.store.Remove("servers", "s1") },
		"damaged":  func(s *system, _ string) { s.store.Put("servers", "s1", []byte("\x00{")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 2)
			first := s.server("s1", "orders", backend.Answer(200, "ok"))
			for _, n := range s.nodes {
				s.awaitStatus(n, "/r1/", "", 200, testWait)
			}
			s.server("s2", "orders", backend.Answer(200, "ok"))
			time.Sleep(time.Second)
			leave(s, first.Address())
			time.Sleep(drainBound)
			runs := len(first.Requests())
			for range 20 {
				for _, n := range s.nodes {
					if status, _ := n.do("/buy/1", "key-1"); status != 200 {
						t.Errorf("%s gives %d", n.Name(), status)
					}
				}
			}
			if len(first.Requests()) != runs {
				t.Error("a leaving server got work")
			}
		})
	}
}

// Entries that lapse while the store is away come back with it; servers that are
// missing then for two seconds are gone.
func TestEntriesThatLapsedInOutage(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	alive := s.server("s1", "orders", backend.Answer(200, "ok"))
	dead := s.server("s2", "orders", backend.Answer(200, "ok"))
	s.awaitStatus(s.nodes[0], "/buy/1", "key-1", 200, testWait)
	time.Sleep(500 * time.Millisecond)
	s.store.Fail(store.Busy)
	time.Sleep(time.Second)
	s.store.Remove("servers", "s1")
	s.store.Remove("servers", "s2")
	s.store.Fail(store.Well)
	back := time.Now()
	for time.Since(back) < time.Second {
		if status, _ := s.nodes[0].do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("%v after the store's return the status is %d", time.Since(back), status)
		}
	}
	s.register("s1", "orders", alive.Address(), "ready")
	time.Sleep(drainBound)
	runs := len(dead.Requests())
	for range 20 {
		if status, _ := s.nodes[0].do("/buy/1", "key-1"); status != 200 {
			t.Fatalf("the status is %d", status)
		}
	}
	if len(dead.Requests()) != runs {
		t.Error("a server that did not come back got work")
	}
}

// A stop cuts nothing that can end in time, and ends in time.
func TestStopFinishesWork(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.server("s1", "orders", backend.After(1500*time.Millisecond, backend.Answer(200, "ok")))
	s.server("s2", "llm", backend.Stream(40, 0, 50*time.Millisecond, nil))
	n := s.nodes[0]
	results := make(chan int, 2)
	s.await("servers are known", testWait, func() bool { status, _ := n.do("/r1/", ""); return status == 200 })
	for _, path := range []string{"/buy/1", "/report/1"} {
		go func() { status, _ := n.do(path, "key-1"); results <- status }()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	n.Terminate()
	s.await("not ready", time.Second, func() bool { return !n.ready() })
	for range 2 {
		if status := <-results; status != 200 {
			t.Errorf("a request under way ended with %d", status)
		}
	}
	if status, _ := n.do("/r1/", ""); status != 200 {
		t.Errorf("a request that came before the balancer knew gives %d", status)
	}
	select {
	case <-n.Exited():
	case <-time.After(graceBound - time.Since(stopped)):
		t.Fatal("the process did not end in time")
	}
	if n.ExitCode() != 0 {
		t.Errorf("the exit code is %d", n.ExitCode())
	}
}

// A stream that outlasts the stop is cut so that its caller can go on elsewhere.
func TestStopCutsWhatCannotEnd(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.server("s1", "llm", backend.Stream(10000, 0, 20*time.Millisecond, nil))
	n := s.nodes[0]
	s.await("the server is known", testWait, func() bool {
		c, err := net.Dial("tcp", n.callers)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
	time.Sleep(time.Second)
	done := make(chan int, 1)
	go func() { status, _ := n.do("/report/1", "key-1"); done <- status }()
	time.Sleep(200 * time.Millisecond)
	n.Terminate()
	select {
	case <-n.Exited():
	case <-time.After(graceBound):
		t.Fatal("the process did not end in time")
	}
	if status := <-done; status != 0 {
		t.Errorf("a stream that was cut looks whole: %d", status)
	}
}

func TestRestartWithoutStore(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/r1/", "", 200, testWait)
	s.store.Fail(store.Silent)
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	s.await("answers", testWait, func() bool { status, _ := n.do("/r1/", ""); return status != 0 })
	for _, path := range []string{"/r1/", "/buy/1", "/nowhere/"} {
		if status, _ := n.do(path, "key-1"); status != 503 {
			t.Errorf("a node that knows nothing says %d to %s", status, path)
		}
	}
	if n.ready() {
		t.Error("a node that knows nothing is ready")
	}
	s.store.Fail(store.Well)
	s.awaitStatus(n, "/buy/1", "key-1", 200, 12*time.Second)
}

// A standard output that nobody reads doesn't delay requests.
func TestBlockedOutput(t *testing.T) {
	s := start(t, 1)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	n.Kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	c := exec.Command(binary, "entry", "--settings", n.settings)
	c.Stdout = writer
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	defer func() { _ = c.Process.Signal(syscall.SIGKILL); _ = c.Wait() }()
	s.awaitStatus(n, "/r1/", "", 200, testWait)
	for range 1500 { // some hundred kilobytes of lines, and a pipe holds 64
		began := time.Now()
		if status, _ := n.do("/buy/1", "key-1"); status != 200 || time.Since(began) > time.Second {
			t.Fatalf("status %d after %v", status, time.Since(began))
		}
	}
}

func TestSettingsThatAreWrong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(path, []byte("[node]\nname = a\ndata-center = x\n[bounds]\ngrace = soon\n[platform]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	b, err := exec.Command(binary, "entry", "--settings", path).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 3 {
		t.Errorf("the process ends with %v", err)
	}
	for _, want := range []string{"data-center: is no known key (data-centre is meant?)", "data-centre: is missing", "grace: is \"soon\"", "address: is \"nowhere\"", "callers: is \"\""} {
		if !strings.Contains(string(b), want) {
			t.Errorf("%q is missing in:\n%s", want, b)
		}
	}
}

func TestHangupKeepsServing(t *testing.T) {
	s := start(t, 1)
	s.server("s1", "orders", backend.Answer(200, "ok"))
	n := s.nodes[0]
	s.awaitStatus(n, "/r1/", "", 200, testWait)
	if err := os.WriteFile(n.settings, []byte("[node]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	s.awaitStatus(n, "/buy/1", "key-1", 200, time.Second)
	b, err := os.ReadFile(n.Output())
	if err != nil || !strings.Contains(string(b), `message="settings rejected"`) {
		t.Errorf("the rejected settings aren't logged, %v", err)
	}
}

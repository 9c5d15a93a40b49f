// Package entry tests entry hosts, run as processes, against stand-ins of the platform's
// store and of backend servers, with injected faults.
package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/entryhost"
	"cicadabeam/test/standin/backend"
	"cicadabeam/test/standin/store"
)

// Time limits of the nodes, as in the deployments.
const (
	applyLimit  = entryhost.ApplyLimit
	revokeLimit = entryhost.RevokeLimit
	drainLimit  = entryhost.DrainLimit
	gracePeriod = entryhost.GracePeriod
	testTimeout = 15 * time.Second
	// logDelay is the time in which nodes have written their lines, which they do in batches.
	logDelay = 200 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) { os.Exit(entryhost.BuildAndRun(m, &binary)) }

// system is a store, nodes and the servers that a test adds.
type system struct {
	t     *testing.T
	store *store.Store
	nodes []*node
	// started are all nodes that were started; nodes are those to which a test sends.
	started []*node
	linked  bool // hosts connect to each other by links
	repeats int  // repeat-extra of the hosts, 0 for that of entryhost
	// settings are added to those of each host, bounds to their section of bounds.
	settings string
	bounds   string
	maxFiles int // limit of file descriptors of each host, 0 for that of the test
}

type node struct {
	*entryhost.Host
	storeEndpoint *store.Endpoint
}

// start starts a store and nodes. The nodes alternate between data centres a and b.
func start(t *testing.T, nodes int) *system { return startSystem(t, nodes, &system{}) }

// startWith is like start; settings are added to those of each node.
func startWith(t *testing.T, nodes int, settings string) *system {
	t.Helper()
	return startSystem(t, nodes, &system{settings: settings})
}

// startLinked is like start; the nodes connect to each other by links.
func startLinked(t *testing.T, nodes int) *system {
	return startSystem(t, nodes, &system{linked: true})
}

func startSystem(t *testing.T, nodes int, s *system) *system {
	t.Helper()
	x, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	s.t, s.store = t, x
	s.keepLogs()
	s.configure(1, []string{"key-1", "key-2"})
	for i := range nodes {
		s.nodes = append(s.nodes, s.startNode(i))
	}
	for _, n := range s.nodes {
		s.await(n.Name()+" is ready", testTimeout, n.Ready)
		select {
		case <-n.Exited():
			t.Fatalf("%s exited; another process may have its address", n.Name())
		default:
		}
	}
	return s
}

// keepLogs keeps the whole logs of all nodes if the test fails.
func (s *system) keepLogs() {
	s.t.TempDir() // is removed after the clean-ups that are added from here on
	s.t.Cleanup(func() {
		if !s.t.Failed() {
			return
		}
		var all []*cluster.Process
		for _, n := range s.started {
			all = append(all, n.Process)
		}
		folder, err := cluster.KeepOutput(s.t.Name(), all...)
		s.t.Logf("the whole logs of the nodes are in %s, error %v", folder, err)
	})
}

func (s *system) startNode(i int) *node {
	s.t.Helper()
	endpoint, err := s.store.AddEndpoint()
	if err != nil {
		s.t.Fatal(err)
	}
	program, err := entryhost.ProgramOf(i, binary)
	if err != nil {
		s.t.Fatal(err)
	}
	h, err := entryhost.New(program, s.t.TempDir(), fmt.Sprintf("node-%d", i), []string{"a", "b"}[i%2], endpoint.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	if err := h.AddSettings(s.settings); err != nil {
		s.t.Fatal(err)
	}
	h.LimitFiles(s.maxFiles)
	n := &node{Host: h, storeEndpoint: endpoint}
	if err := n.ChangeSetting("[bounds]\n", "[bounds]\n"+s.bounds); err != nil {
		s.t.Fatal(err)
	}
	if s.repeats > 0 {
		if err := n.ChangeSetting("repeat-extra = 150", fmt.Sprint("repeat-extra = ", s.repeats)); err != nil {
			s.t.Fatal(err)
		}
	}
	if s.linked {
		if err := n.AddLink(); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(n.Link().Disable)
	}
	if err := n.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.started = append(s.started, n)
	s.t.Cleanup(func() {
		if s.t.Failed() {
			time.Sleep(logDelay)
		}
		n.Kill()
		if s.t.Failed() {
			b, _ := os.ReadFile(n.OutputPath())
			var kept []byte // refusals would hide all other lines
			for _, line := range bytes.Split(b, []byte("\n")) {
				if !bytes.Contains(line, []byte("message=refused")) {
					kept = append(append(kept, line...), '\n')
				}
			}
			s.t.Logf("%s:\n%s", n.Name(), kept[max(0, len(kept)-20000):])
		}
	})
	return n
}

func (s *system) await(condition string, timeout time.Duration, holds func() bool) {
	s.t.Helper()
	if !cluster.Await(timeout, holds) {
		s.t.Errorf("timed out after %v: %s", timeout, condition)
	}
}

// configure writes a configuration that has a route /rN/ for each N up to the revision.
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

func (s *system) addServer(id, service string, steps ...backend.Step) *backend.Server {
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
	s.store.Put("servers", id, fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":6,"State":%q,"born":5,"Seq":1}`, service, address, state))
}

// send sends a request to a node. The status is 0 without a complete response.
func (n *node) send(path, key string, edits ...func(r *http.Request)) (int, http.Header) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+path, http.NoBody)
	if err != nil {
		return 0, nil
	}
	r.Host = "test.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Deadline-Ms", "20000")
	r.Header.Set("X-Token-Usage", "800,90")
	r.Header.Set("Authorization", "Bearer "+key)
	for _, f := range edits {
		f(r)
	}
	c := http.Client{Timeout: testTimeout}
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

func (s *system) awaitStatus(n *node, path, key string, status int, timeout time.Duration) {
	s.t.Helper()
	last := 0
	if !cluster.Await(timeout, func() bool { last, _ = n.send(path, key); return last == status }) {
		s.t.Errorf("%s: %s: got status %d, want %d within %v", n.Name(), path, last, status, timeout)
	}
}

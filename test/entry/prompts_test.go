package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// resumeHeaders returns a function that turns a request into one that resumes a stream
// with the given prompt.
func resumeHeaders(prompt string) func(r *http.Request) {
	return func(r *http.Request) {
		r.Header.Set("X-Prefix-Hash", "5c1e07a2:200,"+prompt+":8000")
		r.Header.Set("X-Token-Usage", "8200,900")
		r.Header.Set("Last-Event-Id", "3")
	}
}

// countStreams returns the number of streams that reached a server. Queries for the
// prompts that the server has cached are not counted.
func countStreams(b *backend.Server) int {
	n := 0
	for _, r := range b.Requests() {
		if r.Method == http.MethodPost {
			n++
		}
	}
	return n
}

func (s *system) addEngines(n int, prompt func(i int) []string) []*backend.Server {
	s.t.Helper()
	var all []*backend.Server
	for i := range n {
		all = append(all, s.addServer(fmt.Sprint("engine-", i), "llm", backend.WithCachedPrompts(prompt(i), backend.Stream(6, 0, 0, nil))))
	}
	return all
}

func (n *node) restart(t *testing.T) {
	t.Helper()
	n.Kill()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
}

// Guards against streams that are sent to any engine after all nodes were killed: a node
// without state must find the engine that has cached the prompt of a resumed stream.
func TestPromptsAreFoundAfterRestartOfAllNodes(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	name := func(i int) string { return fmt.Sprintf("ab%02d", i) }
	engines := s.addEngines(8, func(i int) []string { return []string{name(i)} })
	n := s.nodes[0]
	s.awaitStatus(n, "/report/1", "key-1", 200, testTimeout)
	n.restart(t)
	s.await("ready", testTimeout, n.Ready)
	for i, e := range engines {
		before := countStreams(e)
		if status, _ := n.send("/report/1", "key-1", resumeHeaders(name(i))); status != 200 {
			t.Errorf("got status %d, want 200", status)
		}
		if countStreams(e) != before+1 {
			t.Errorf("the stream of %s did not go to the engine that has its prompt cached", name(i))
		}
	}
}

// A restarted node learns from the other nodes which engine processed which prompts.
func TestRestartedNodeLearnsPrompts(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	none := func(int) []string { return nil }
	firstEngine := s.addEngines(1, none)[0]
	peer, restarted := s.nodes[0], s.nodes[1]
	s.awaitStatus(peer, "/report/1", "key-1", 200, testTimeout)
	const prompts = 6
	prompt := func(i int) string { return fmt.Sprintf("cd%02d", i) }
	for i := range prompts {
		peer.send("/report/1", "key-1", resumeHeaders(prompt(i)))
	}
	for i := range 7 {
		s.addServer(fmt.Sprint("later-", i), "llm", backend.WithCachedPrompts(nil, backend.Stream(6, 0, 0, nil)))
	}
	time.Sleep(1500 * time.Millisecond) // longer than nodes send recent prompts to all others
	restarted.restart(t)
	s.await("ready", testTimeout, restarted.Ready)
	time.Sleep(500 * time.Millisecond)
	before := countStreams(firstEngine)
	for i := range prompts {
		restarted.send("/report/1", "key-1", resumeHeaders(prompt(i)))
	}
	if n := countStreams(firstEngine) - before; n != prompts {
		t.Errorf("%d of %d streams went to the engine that processed their prompts", n, prompts)
	}
}

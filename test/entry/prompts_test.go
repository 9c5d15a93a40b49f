package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// resumed makes a request one that goes on with a stream of a prompt.
func resumed(prompt string) func(r *http.Request) {
	return func(r *http.Request) {
		r.Header.Set("X-Prefix-Hash", "5c1e07a2:200,"+prompt+":8000")
		r.Header.Set("X-Token-Usage", "8200,900")
		r.Header.Set("Last-Event-Id", "3")
	}
}

// streams counts the streams that reached a server, without the questions for what
// it keeps.
func streams(b *backend.Server) int {
	n := 0
	for _, r := range b.Requests() {
		if r.Method == http.MethodPost {
			n++
		}
	}
	return n
}

func (s *system) engines(n int, prompt func(i int) []string) []*backend.Server {
	s.t.Helper()
	var all []*backend.Server
	for i := range n {
		all = append(all, s.server(fmt.Sprint("engine-", i), "llm", backend.Keeping(prompt(i), backend.Stream(6, 0, 0, nil))))
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

// After all nodes were killed, callers come back with prompts that engines have read.
func TestPromptsAreFoundAfterLossOfAllNodes(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	name := func(i int) string { return fmt.Sprintf("ab%02d", i) }
	engines := s.engines(8, func(i int) []string { return []string{name(i)} })
	n := s.nodes[0]
	s.awaitStatus(n, "/report/1", "key-1", 200, testWait)
	n.restart(t)
	s.await("ready", testWait, n.Ready)
	for i, e := range engines {
		before := streams(e)
		if status, _ := n.do("/report/1", "key-1", resumed(name(i))); status != 200 {
			t.Errorf("status %d", status)
		}
		if streams(e) != before+1 {
			t.Errorf("the stream of %s did not go to the engine that keeps its prompt", name(i))
		}
	}
}

// A node that starts anew hears from the others which engine read which prompts.
func TestYoungNodeHearsOfPrompts(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	none := func(int) []string { return nil }
	readsAll := s.engines(1, none)[0]
	stays, starts := s.nodes[0], s.nodes[1]
	s.awaitStatus(stays, "/report/1", "key-1", 200, testWait)
	const prompts = 6
	prompt := func(i int) string { return fmt.Sprintf("cd%02d", i) }
	for i := range prompts {
		stays.do("/report/1", "key-1", resumed(prompt(i)))
	}
	for i := range 7 {
		s.server(fmt.Sprint("later-", i), "llm", backend.Keeping(nil, backend.Stream(6, 0, 0, nil)))
	}
	time.Sleep(1500 * time.Millisecond) // longer than the prompts are told to all
	starts.restart(t)
	s.await("ready", testWait, starts.Ready)
	time.Sleep(500 * time.Millisecond)
	before := streams(readsAll)
	for i := range prompts {
		starts.do("/report/1", "key-1", resumed(prompt(i)))
	}
	if n := streams(readsAll) - before; n != prompts {
		t.Errorf("%d of %d streams went to the engine that read their prompts", n, prompts)
	}
}

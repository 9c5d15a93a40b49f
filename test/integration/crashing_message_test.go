package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/test/cluster"
)

// Requests that differ but share a message crash the engines that run them.
func TestMessageThatCrashesEngines(t *testing.T) {
	t.Parallel()
	const system, bad, maxCrashes = "Answer briefly.", "crash-engine=2", 5
	c := startCluster(t, cluster.Layout{DataCentres: 2, NodesPerDataCentre: 2, EnginesPerDataCentre: 4})
	var wg sync.WaitGroup
	others := make([]*cluster.Transcript, 24)
	for i := range others {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			others[i] = c.Node(i%4).Complete(testContext(t), cluster.CompletionRequest{
				Text: "tokens=100", Before: []string{system, fmt.Sprint("Question ", i)}, IdempotencyKey: fmt.Sprint("sound-", i),
			})
		})
	}
	time.Sleep(time.Second)
	for i := range 16 {
		x := c.Node(i%4).Complete(testContext(t), cluster.CompletionRequest{
			Text: "tokens=50", Before: []string{system, fmt.Sprint("Question ", i), bad}, IdempotencyKey: fmt.Sprint("bad-", i),
		})
		if i >= maxCrashes && (x.Status != fault.New(fault.PromptQuarantined, "", "").Status() || x.Failure.Code != fault.PromptQuarantined || x.Header.Get("Retry-After") == "") {
			t.Errorf("request %d: status %d, Retry-After %q, %+v", i, x.Status, x.Header.Get("Retry-After"), x.Failure)
		}
		restartExitedEngines(t, c)
	}
	wg.Wait()
	if n := countStarts(t, c, "bad-"); n > maxCrashes {
		t.Errorf("requests with the message were started %d times, want at most %d", n, maxCrashes)
	}
	for _, x := range others {
		checkComplete(t, c, x, 100)
		checkOutputGap(t, x)
	}
}

func restartExitedEngines(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Engines() {
		select {
		case <-e.Exited():
			must(t, e.Restart())
		default:
		}
	}
}

// countStarts returns how often engines started requests whose markers have a prefix.
func countStarts(t *testing.T, c *cluster.Cluster, prefix string) int {
	t.Helper()
	log, err := c.EngineLog()
	must(t, err)
	n := 0
	for _, r := range log {
		if r.Event == "start" && strings.HasPrefix(r.Marker, prefix) {
			n++
		}
	}
	return n
}

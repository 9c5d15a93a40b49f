package soak

import (
	"testing"
	"time"

	"cicadabeam/test/cluster"
	"cicadabeam/test/entryhost"
)

// Guards against requests for a leaving server that are taken for those of its predecessor.
func TestOnlyRequestsForPredecessorMayReachLeavingServer(t *testing.T) {
	const caller = "127.0.0.1:8740"
	passedOn := time.Now()
	here, elsewhere := &serverAddress{}, &serverAddress{}
	for _, x := range []struct {
		name       string
		arrival    Arrival
		violations int
	}{
		{"meant for the server", Arrival{Expected: "i-9", Executed: true}, 1},
		{"meant for the server, not executed", Arrival{Expected: "i-9"}, 1},
		{"meant for nobody", Arrival{Executed: true}, 1},
		{"meant for the predecessor", Arrival{Expected: "i-3"}, 0},
		{"meant for the predecessor and executed", Arrival{Expected: "i-3", Executed: true}, 1},
		{"meant for a server of another address", Arrival{Expected: "i-4"}, 1},
		{"meant for an unknown server", Arrival{Expected: "i-77"}, 1},
	} {
		e := &testEnv{hosts: []*host{{Host: &entryhost.Host{Process: cluster.NewProcess("node-0", "", "")}}}, addressOf: map[string]*serverAddress{"i-3": here, "i-4": elsewhere, "i-9": here}}
		c := &checker{env: e, results: map[string]Result{"r": {ID: "r", Host: caller, Sent: passedOn.Add(2 * leavingLimit)}}}
		x.arrival.ID, x.arrival.Server, x.arrival.At = "r", "i-9", passedOn.Add(2*leavingLimit)
		c.checkLeaving(path{e.hosts[0].CallerAddress(), "i-9"}, passedOn, []Arrival{x.arrival})
		if len(c.violations) != x.violations {
			t.Errorf("%s: got violations %q, want %d", x.name, c.violations, x.violations)
		}
	}
}

package integration

import (
	"net/http"
	"testing"

	"cicadabeam/test/cluster"
)

// Requests of all kinds pass from the caller through an entry host to a backend server and
// back, on two entry hosts with a configuration made from a questionnaire.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	c := startCluster(t, cluster.Layout{NodesEach: 2, EnginesEach: 2, AppsEach: 1})
	ctx := testContext(t)
	for _, n := range c.Nodes() {
		streamed := n.Ask(ctx, cluster.Prompt{Text: "tokens=30"})
		checkComplete(t, c, streamed, 30)
		if streamed.Roles != 1 {
			t.Fatalf("%d role events", streamed.Roles)
		}
		checkComplete(t, c, n.Ask(ctx, cluster.Prompt{Text: "tokens=30", Whole: true}), 30)
		checkComplete(t, c, n.Ask(ctx, cluster.Prompt{Text: "tokens=30", Path: "/v1/completions"}), 30)
		limited := n.Ask(ctx, cluster.Prompt{Text: "tokens=30", MaxTokens: 7})
		checkComplete(t, c, limited, 7)
		if limited.Finish[0] != "length" {
			t.Fatalf("finish reason %q", limited.Finish[0])
		}
		r := n.Call(ctx, http.MethodGet, "/services/lookup/balance?family=7", "", "")
		if r.Status != http.StatusOK {
			t.Fatalf("lookup: %+v", r)
		}
		r = n.Call(ctx, http.MethodPost, "/services/purchase/tokens", "first-"+n.Name(), "litres=20")
		if r.Status != http.StatusOK {
			t.Fatalf("purchase: %+v", r)
		}
	}
}

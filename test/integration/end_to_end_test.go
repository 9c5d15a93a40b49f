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
	c := startCluster(t, cluster.Layout{NodesPerDataCentre: 2, EnginesPerDataCentre: 2, AppsPerDataCentre: 1})
	ctx := testContext(t)
	for _, n := range c.Nodes() {
		streamed := n.Complete(ctx, cluster.CompletionRequest{Text: "tokens=30"})
		checkComplete(t, c, streamed, 30)
		if streamed.RoleEvents != 1 {
			t.Fatalf("%d role events", streamed.RoleEvents)
		}
		checkComplete(t, c, n.Complete(ctx, cluster.CompletionRequest{Text: "tokens=30", NoStream: true}), 30)
		checkComplete(t, c, n.Complete(ctx, cluster.CompletionRequest{Text: "tokens=30", Path: "/v1/completions"}), 30)
		limited := n.Complete(ctx, cluster.CompletionRequest{Text: "tokens=30", MaxTokens: 7})
		checkComplete(t, c, limited, 7)
		if limited.FinishReasons[0] != "length" {
			t.Fatalf("finish reason %q", limited.FinishReasons[0])
		}
		r := n.CallService(ctx, http.MethodGet, "/services/lookup/balance?family=7", "", "")
		if r.Status != http.StatusOK {
			t.Fatalf("lookup: %+v", r)
		}
		r = n.CallService(ctx, http.MethodPost, "/services/purchase/tokens", "first-"+n.Name(), "litres=20")
		if r.Status != http.StatusOK {
			t.Fatalf("purchase: %+v", r)
		}
	}
}

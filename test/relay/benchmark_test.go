package relay

import (
	"net/http"
	"testing"

	"cicadabeam/test/standin/backend"
)

// BenchmarkCall measures one call through the relay, including the caller and the server.
func BenchmarkCall(b *testing.B) {
	h := newHarness(b)
	h.startServer("buy", "a", backend.Respond(200, "ok"))
	b.ResetTimer()
	for b.Loop() {
		if got := h.send(http.MethodPost, "/buy/1", nil); got.status != 200 {
			b.Fatal(got.status, got.err)
		}
	}
}

// BenchmarkEvent measures one event of a stream through the relay, including the caller
// and the server. Each operation is one event.
func BenchmarkEvent(b *testing.B) {
	h := newHarness(b)
	h.startServer("report", "a", backend.Stream(b.N, 0, 0, nil))
	b.ReportAllocs()
	b.ResetTimer()
	if got := h.send(http.MethodPost, "/report/1", setTokenUsage); got.status != 200 || got.err != nil {
		b.Fatal(got.status, got.err)
	}
}

package relay

import (
	"net/http"
	"testing"

	"cicadabeam/test/standin/backend"
)

// BenchmarkCall measures a call through the relay, with caller and server.
func BenchmarkCall(b *testing.B) {
	x := newBench(b)
	x.server("buy", "a", backend.Answer(200, "ok"))
	b.ResetTimer()
	for b.Loop() {
		if got := x.do(http.MethodPost, "/buy/1", nil); got.status != 200 {
			b.Fatal(got.status, got.err)
		}
	}
}

// BenchmarkEvent measures an event of a stream through the relay, with caller and
// server; each operation is one event.
func BenchmarkEvent(b *testing.B) {
	x := newBench(b)
	x.server("report", "a", backend.Stream(b.N, 0, 0, nil))
	b.ReportAllocs()
	b.ResetTimer()
	if got := x.do(http.MethodPost, "/report/1", prompt); got.status != 200 || got.err != nil {
		b.Fatal(got.status, got.err)
	}
}

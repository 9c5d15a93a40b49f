package dispatch_test

import (
	"sync"
	"testing"

	"cicadabeam/core/dispatch"
)

func TestRefusedRequestIsNeverSent(t *testing.T) {
	var a dispatch.Attempts
	if !a.Begin() {
		t.Fatal("a new request cannot be sent")
	}
	a.RecordNotRun()
	if a.Close() {
		t.Error("a request that every server refused is reported as possibly run")
	}
	if a.Begin() {
		t.Error("a request can be sent after its refusal")
	}
}

// A request must not be both sent and refused when the two happen at the same time.
func TestSendAndRefusalAreMutuallyExclusive(t *testing.T) {
	for range 2000 {
		var a dispatch.Attempts
		var sent, mayRun bool
		var g sync.WaitGroup
		g.Go(func() { sent = a.Begin() })
		g.Go(func() { mayRun = a.Close() })
		g.Wait()
		if sent != mayRun {
			t.Fatalf("got sent %v but mayRun %v", sent, mayRun)
		}
	}
}

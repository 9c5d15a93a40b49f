package dispatch_test

import (
	"sync"
	"testing"

	"cicadabeam/core/dispatch"
)

func TestRefusedRequestIsNeverSent(t *testing.T) {
	var o dispatch.Attempts
	if !o.Begin() {
		t.Fatal("a new request cannot be sent")
	}
	o.RecordNotRun()
	if o.Close() {
		t.Error("a request that every server refused is reported as possibly run")
	}
	if o.Begin() {
		t.Error("a request can be sent after its refusal")
	}
}

// A request must not be both sent and refused when the two happen at the same time.
func TestSendAndRefusalAreMutuallyExclusive(t *testing.T) {
	for range 2000 {
		var o dispatch.Attempts
		var sent, mayRun bool
		var g sync.WaitGroup
		g.Go(func() { sent = o.Begin() })
		g.Go(func() { mayRun = o.Close() })
		g.Wait()
		if sent != mayRun {
			t.Fatalf("got sent %v but mayRun %v", sent, mayRun)
		}
	}
}

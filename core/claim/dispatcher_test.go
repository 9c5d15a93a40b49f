package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/fault"
)

// A call that comes after Close is refused at once and not sent, as nobody would wait for
// its outcome. Earlier calls with the same key may have run.
func TestCallAfterCloseIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &simulation{}
		n := &testNode{simulation: s, name: "n0"}
		n.start()
		n.dispatcher.Close(t.Context())
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
		defer cancel()
		start := time.Now()
		_, err := n.dispatcher.Do(ctx, claim.Call{Key: claim.Key{Name: "k"}, Deadline: start.Add(time.Minute)})
		var f *fault.Error
		if !errors.As(err, &f) || f.Code() != fault.Draining || f.Ran() != fault.RanUnknown || f.Attempt() != fault.NotRun {
			t.Errorf("got %v, want draining, not sent in this attempt", err)
		}
		if s.sends != 0 || time.Since(start) != 0 {
			t.Errorf("%d sends, refused after %v; want none, at once", s.sends, time.Since(start))
		}
	})
}

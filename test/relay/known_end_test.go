package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cicadabeam/test/standin/backend"
)

// Guards against a run through another host that is taken for ended although its server can't be told.
func TestEndThroughAnotherHostIsKnownOnlyIfTheServerIsReached(t *testing.T) {
	for _, through := range []bool{false, true} {
		for _, cut := range []bool{false, true} {
			run := &pathRun{}
			s, path, err := backend.StartOnPath(ownAddress())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			s.SetSteps(run.step(path))
			c, _, err := startPaths(t, through).Dial(context.Background(), s.Address())
			if err != nil {
				t.Fatal(err)
			}
			r, _ := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/long/1", http.NoBody)
			_ = r.Write(c)
			time.Sleep(100 * time.Millisecond)
			if cut {
				if err := path.Cut(); err != nil {
					t.Fatal(err)
				}
			}
			x := c.(interface {
				GiveUp()
				AwaitEnd(until time.Time) bool
			})
			gaveUp := time.Now()
			x.GiveUp()
			known := x.AwaitEnd(gaveUp.Add(250 * time.Millisecond))
			took := time.Since(gaveUp)
			time.Sleep(50 * time.Millisecond)
			_, ended := run.times()
			if known == cut || ended.IsZero() != cut || !cut && took > 100*time.Millisecond {
				t.Errorf("through another host %v, cut %v: after %v the end is known %v; the run has ended %v", through, cut, took, known, !ended.IsZero())
			}
			if cut {
				_ = path.Heal()
			}
		}
	}
}

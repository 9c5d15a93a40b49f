package serverpath

import (
	"testing"
	"time"
)

// Guards against ends that come late after a path has healed, by an attempt to connect that began before.
func TestEndFollowsHealingWithinAnInterval(t *testing.T) {
	for _, cut := range []time.Duration{270, 350, 400, 450, 500, 750, 800, 850, 900, 950} {
		s, d, _ := startEndedServer(t)
		c := s.connect(t, d, 1)[0]
		s.cut(t, true)
		gaveUp := time.Now()
		c.GiveUp()
		time.Sleep(time.Until(gaveUp.Add(cut * time.Millisecond)))
		s.cut(t, false)
		healed := time.Now()
		c.AwaitEnd(healed.Add(time.Second))
		took := time.Since(healed)
		t.Logf("cut for %v: ended %v after the healing", cut*time.Millisecond, took)
		if limit := tryInterval + 50*time.Millisecond; took > limit {
			t.Errorf("cut for %v: ended %v after the healing, want %v at most", cut*time.Millisecond, took, limit)
		}
	}
}

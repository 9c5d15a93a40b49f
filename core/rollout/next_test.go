package rollout_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/rollout"
)

func inputs(nowMS int64) rollout.Inputs {
	return rollout.Inputs{
		NowMS: nowMS, Host: "a", Order: order, Ordered: true, Limits: limits, Runs: time.Second,
		Versions: map[string]int{"v1": 6, "v2": 6},
		Hosts:    map[string]rollout.Progress{"h": {OrderID: 7, Term: 9, Seq: 99}},
		Verdict:  canary.Verdict{Result: canary.Sound, Reason: "sound", Rate: 100, Exposed: 50},
	}
}

// drive calls Next every 100 ms, with a lease renewed each time, until the roll-out ends.
func drive(s rollout.State, to int64, change func(in *rollout.Inputs)) (rollout.State, int64) {
	now := s.StartedMS
	for ; now < to && !s.Phase.Final(); now += 100 {
		in := inputs(now)
		change(&in)
		s, _ = rollout.Next(s, in)
		s = rollout.Renew(s, now)
	}
	return s, now
}

// Guards against a roll-out that misses its deadline though all is well, or gives a version all requests
// earlier than needed.
func TestSoundVersionIsCompletedLateButInTime(t *testing.T) {
	s := rollout.Begin(order, nil, inputs(1000))
	if s.Phase != rollout.Canary || s.Share > 0.08001 || !slices.Equal(s.Old, []string{"v1"}) {
		t.Fatalf("first state %+v", s)
	}
	var shares []float64
	shifted := int64(0)
	s, end := drive(s, 30_000, func(in *rollout.Inputs) {})
	if s.Phase != rollout.Completed || end > s.DeadlineMS {
		t.Errorf("%v at %d, want completed before %d", s.Phase, end, s.DeadlineMS)
	}
	s, _ = drive(rollout.Begin(order, nil, inputs(1000)), 30_000, func(in *rollout.Inputs) {
		in.Hosts = map[string]rollout.Progress{"h": {OrderID: 7, Term: 9, Seq: 99, OldRuns: 1}}
	})
	if s.Phase != rollout.Draining || s.Share != 1 {
		t.Errorf("%v while there is a run on an old server, want draining", s.Phase)
	}
	for now, x := int64(1000), rollout.Begin(order, nil, inputs(1000)); now < 13_000; now += 100 {
		x, _ = rollout.Next(rollout.Renew(x, now), inputs(now))
		if len(shares) == 0 || shares[len(shares)-1] != x.Share {
			shares = append(shares, x.Share)
			if len(shares) == 2 {
				shifted = now
			}
		}
	}
	if !slices.Equal(shares[1:], []float64{0.25, 0.5, 1}) || shifted < 1000+5000 {
		t.Errorf("shares %v from %d", shares, shifted)
	}
}

// Guards against each way in which an order ends other than by completion, and against one that
// never ends.
func TestEndsOfAnOrder(t *testing.T) {
	bad := canary.Verdict{Result: canary.Bad, Reason: "bad", Against: true}
	for _, c := range []struct {
		name   string
		change func(in *rollout.Inputs)
		phase  rollout.Phase
		before int64 // by the order's start at 0
	}{
		{"bad in the canary phase", func(in *rollout.Inputs) {
			if in.NowMS > 2000 {
				in.Verdict = bad
			}
		}, rollout.RolledBack, 2300},
		{"bad while traffic shifts", func(in *rollout.Inputs) {
			if in.NowMS > 8000 {
				in.Verdict = bad
			}
		}, rollout.RolledBack, 8300},
		{"withdrawn", func(in *rollout.Inputs) { in.Ordered = in.NowMS < 1000 }, rollout.Withdrawn, 1300},
		{"new servers don't appear", func(in *rollout.Inputs) { in.Versions = map[string]int{"v1": 6} }, rollout.RolledBack, 12_300},
		{"new servers are lost", func(in *rollout.Inputs) {
			if in.NowMS > 8000 {
				in.Versions = map[string]int{"v1": 6}
			}
		}, rollout.RolledBack, 8300},
		{"evidence against the version, but no verdict", func(in *rollout.Inputs) {
			in.Verdict = canary.Verdict{Against: true, Weight: 1, Exposed: 9}
		}, rollout.RolledBack, 12_300},
		{"little traffic", func(in *rollout.Inputs) {
			in.Verdict = canary.Verdict{Exposed: 2, Rate: 1}
		}, rollout.Completed, 13_000},
		{"hosts that are gone have runs", func(in *rollout.Inputs) {
			in.Hosts["gone"] = rollout.Progress{OrderID: 7, OldRuns: 3, Age: 4 * time.Second}
		}, rollout.Completed, 12_000},
		{"bad while the outcome of writing completed is unknown", func(in *rollout.Inputs) {
			in.Verdict, in.Completing = bad, true
		}, rollout.Canary, 20_100},
	} {
		s, end := drive(rollout.Begin(order, nil, inputs(0)), 20_000, c.change)
		if s.Phase != c.phase || end > c.before {
			t.Errorf("%s: %v at %d (%s), want %v before %d", c.name, s.Phase, end, s.Reason, c.phase, c.before)
		}
	}
}

// Guards against an announcement before the row was written, of all that gives a version more.
func TestOnlyEndsThatTakeRequestsAwayAreAnnouncedFirst(t *testing.T) {
	for now, s := int64(0), rollout.Begin(order, nil, inputs(0)); now < 13_000 && !s.Phase.Final(); now += 100 {
		x, d := rollout.Next(rollout.Renew(s, now), inputs(now))
		if (x.Phase != s.Phase || x.Share != s.Share) != (d == rollout.WriteFirst) {
			t.Errorf("from %v to %v: decision %v", s.Phase, x.Phase, d)
		}
		s = x
	}
	in := inputs(100)
	in.Verdict.Result = canary.Bad
	if s, d := rollout.Next(rollout.Begin(order, nil, inputs(0)), in); d != rollout.AnnounceNow || s.Share != 0 {
		t.Errorf("a bad version: decision %v, share %v", d, s.Share)
	}
}

// Guards against an order that is never begun or begun twice, and against versions of earlier orders
// that come back with a later one.
func TestOrdersThatReplaceOthers(t *testing.T) {
	next := rollout.Order{Service: "x", Target: "v3", ID: 9, Length: 12 * time.Second}
	first := rollout.Begin(order, nil, inputs(0))
	in := inputs(500)
	in.Order = next
	in.Versions["v3"] = 6
	s, d := rollout.Next(first, in)
	if s.ID != 9 || s.Phase != rollout.Canary || d != rollout.WriteFirst || !slices.Equal(s.Excluded, []string{"v2"}) || !slices.Equal(s.Old, []string{"v1"}) {
		t.Errorf("after a newer order: %+v, %v", s, d)
	}
	if s, d := rollout.Next(s, inputs(600)); s.ID != 9 || d != rollout.Keep {
		t.Errorf("an older order replaces a newer one: %+v, %v", s, d)
	}
	completed := first
	completed.Phase = rollout.Completed
	in.Versions = map[string]int{"v2": 6, "v3": 6}
	if s := rollout.Begin(next, &completed, in); !slices.Equal(s.Excluded, []string{"v1"}) || !slices.Equal(s.Old, []string{"v2"}) {
		t.Errorf("after a completed order: %+v", s)
	}
	back := rollout.Order{Service: "x", Target: "v1", ID: 11, Length: time.Second}
	in.Versions = map[string]int{"v1": 6, "v2": 6}
	if s := rollout.Begin(back, &first, in); s.Phase != rollout.Completed || !slices.Equal(s.Excluded, []string{"v2"}) {
		t.Errorf("an order for the version that serves alone: %+v", s)
	}
}

// Guards against a roll-out that goes back: by a later driver, a store that comes back from an older
// copy, or a rolled back version that a driver elsewhere goes on with.
func TestTakeOverKeepsTheLatestState(t *testing.T) {
	row := rollout.Begin(order, nil, inputs(0))
	if row.MayTakeOver(2900) || !row.MayTakeOver(3100) {
		t.Error("the lease does not decide who drives")
	}
	known := row
	known.Term, known.Seq, known.Phase, known.Share = 4, 6, rollout.Draining, 1
	in := inputs(5000)
	in.Host = "b"
	s := rollout.TakeOver(row, &known, in)
	if s.Phase != rollout.Draining || s.Term != 5 || s.Driver != "b" || s.LeaseUntilMS != 8000 || !s.Supersedes(known) {
		t.Errorf("after a restore: %+v", s)
	}
	for _, p := range []rollout.Phase{rollout.RolledBack, rollout.Withdrawn, rollout.Completed} {
		ended := row
		ended.Phase, ended.Share = p, 0
		later := row
		later.Term, later.Seq, later.Phase = 9, 9, rollout.Shifting
		if !ended.Supersedes(later) || later.Supersedes(ended) {
			t.Errorf("a later driver replaces %v", p)
		}
		if s := rollout.TakeOver(later, &ended, in); s.Phase != p || !s.Supersedes(later) || s.MayTakeOver(99_000) {
			t.Errorf("%v after a takeover: %+v", p, s)
		}
	}
	frozen := rollout.Begin(order, nil, inputs(0))
	s, d := rollout.Next(frozen, inputs(1600))
	if s.Seq != frozen.Seq+1 || d != rollout.WriteFirst || s.Phase != rollout.Canary {
		t.Errorf("hosts need not follow anew after their permits have ended: %+v, %v", s, d)
	}
}

// Guards against a state that the store or a peer of another version can't read.
func TestStateIsEncoded(t *testing.T) {
	s := canaryState()
	row, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var fromRow, fromPeer rollout.State
	if err := json.Unmarshal(row, &fromRow); err != nil || !reflect.DeepEqual(s, fromRow) {
		t.Errorf("from %s: %+v, %v", row, fromRow, err)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(&fromPeer); err != nil || !reflect.DeepEqual(s, fromPeer) {
		t.Errorf("from a peer: %+v, %v", fromPeer, err)
	}
}

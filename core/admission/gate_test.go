package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/fleet"
)

// fullFleet returns a fleet of two engines with a number of runs of 8,000 tokens of this node.
func fullFleet(runs int) *fleet.Fleet {
	f := fleet.New(fleet.Topology{DataCentre: "a", Regions: map[string]string{"a": "r"}})
	for i := range 2 {
		f.Upsert(fleet.Server{ID: fmt.Sprint("e", i), Service: "chat", Address: fmt.Sprintf("10.0.0.1:%d", 1000+i), DataCentre: "a", Slots: slots})
	}
	for range runs {
		f.Reserve(query(nil))
	}
	return f
}

func query(t *admission.Ticket) fleet.Query {
	q := fleet.Query{Service: "chat", PromptTokens: 8000, Memory: 9300, Capacity: cacheTokens, Prompt: "p", Now: epoch}
	if t != nil {
		q.Urgent, q.Policy = t.Urgent(), t
	}
	return q
}

func request(goal, left time.Duration) admission.Request {
	return admission.Request{Organisation: "o", Rank: 2, Tokens: 8000, Memory: 9300, Capacity: cacheTokens, Goal: epoch.Add(goal), Deadline: epoch.Add(left), Hosts: 1, Informed: true}
}

func newGate() *admission.Gate { return admission.NewGate(rand.New(rand.NewPCG(1, 2))) }

func step(f *fleet.Fleet, t *admission.Ticket, now time.Time) admission.Verdict {
	v, _ := t.Step(now, func(now time.Time) bool {
		q := query(t)
		q.Now = now
		return f.Reserve(q) != nil
	})
	return v
}

// Guards against requests that are held until their deadline, against refusals that callers with time
// left can't use, and against refusals by hosts that don't know the work of the others, of streams
// that have begun, or because there is no server at all.
func TestVerdicts(t *testing.T) {
	uninformed, resumed := request(10*time.Second, 25*time.Second), request(10*time.Second, 25*time.Second)
	uninformed.Informed, resumed.Resumed = false, true
	for name, x := range map[string]struct {
		runs int
		r    admission.Request
		want admission.Verdict
	}{
		"room":                   {0, request(10*time.Second, 25*time.Second), admission.Started},
		"no room":                {20, request(10*time.Second, 25*time.Second), admission.Waiting},
		"no time until the goal": {20, request(time.Second, 25*time.Second), admission.Refused},
		"knows little":           {20, uninformed, admission.Started},
		"resumed":                {20, resumed, admission.Started},
	} {
		ticket := newGate().Enter(urgentGoal, x.r, epoch)
		if got := step(fullFleet(x.runs), ticket, epoch); got != x.want {
			t.Errorf("%s: got %v, want %v", name, got, x.want)
		}
		if wait := ticket.RetryAt().Sub(epoch); x.want == admission.Refused && (wait < 500*time.Millisecond || wait > 16*time.Second) {
			t.Errorf("%s: the caller is to return after %v", name, wait)
		}
	}
	none := fleet.New(fleet.Topology{DataCentre: "a"})
	if got := step(none, newGate().Enter(urgentGoal, request(10*time.Second, 25*time.Second), epoch), epoch); got != admission.Unavailable {
		t.Errorf("no servers: got %v", got)
	}
}

// Guards against a request that begins before one with a tighter slack or a higher rank that waits.
func TestOrderOfWaitingRequests(t *testing.T) {
	g, f := newGate(), fullFleet(20)
	loose, tight, high := request(10*time.Second, 25*time.Second), request(5*time.Second, 25*time.Second), request(10*time.Second, 25*time.Second)
	high.Rank = 0
	first := g.Enter(urgentGoal, loose, epoch)
	tickets := []*admission.Ticket{first, g.Enter(urgentGoal, tight, epoch), g.Enter(urgentGoal, high, epoch)}
	for _, x := range tickets {
		if v := step(f, x, epoch); v != admission.Waiting {
			t.Fatalf("got %v", v)
		}
	}
	empty := fullFleet(0)
	for i, want := range []admission.Verdict{admission.Waiting, admission.Waiting, admission.Started} {
		if v := step(empty, tickets[i], epoch.Add(time.Second)); v != want {
			t.Errorf("ticket %d: got %v, want %v", i, v, want)
		}
	}
	tickets[1].Cancel(epoch.Add(time.Second))
	if v := step(empty, first, epoch.Add(2*time.Second)); v != admission.Started {
		t.Errorf("after the others: got %v", v)
	}
}

// Guards against places in the queue by which a lower rank comes before a higher one with the same slack, and
// that don't rise as the goal comes near.
func TestPlaces(t *testing.T) {
	for slack := time.Duration(0); slack < 12*time.Second; slack += 250 * time.Millisecond {
		before := -1
		for rank := range 10 {
			r := request(slack+time.Second, 25*time.Second)
			r.Rank = rank
			c := r.Place(time.Second, epoch)
			if c < before || c < 0 || c > 8 || r.Place(time.Second, epoch.Add(time.Second)) > c {
				t.Errorf("rank %d, slack %v: place %d after %d", rank, slack, c, before)
			}
			before = c
		}
	}
}

// Guards against engines that run a lower rank of a kind before a higher one, or the less urgent kind before the urgent
// one of its rank, and against a class that is as low as that of runs that are late.
func TestClasses(t *testing.T) {
	before := [2]int{-1, -1}
	for rank := range 10 {
		u, o := admission.Request{Rank: rank, Urgent: true}, admission.Request{Rank: rank}
		if u.Class() < before[0] || o.Class() < before[1] || u.Class() >= o.Class() || o.Class() > 8 || u.Class() < 0 {
			t.Errorf("rank %d: classes %d and %d after %d and %d", rank, u.Class(), o.Class(), before[0], before[1])
		}
		before = [2]int{u.Class(), o.Class()}
	}
}

package drain_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/drain"
)

var start = time.Unix(1_000_000, 0)

func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// A host that stops 7.4 s later cuts no request that it accepts 3 s after the stop began or later.
func TestAcceptsWhatEndsBeforeTheHost(t *testing.T) {
	w := drain.Window{Early: seconds(2.8), Noticed: seconds(3.2), End: seconds(7.4)}
	for _, x := range []struct {
		arrived, deadline, usual    float64 // usual is 0 if it is unknown
		repeatable, resumable, want bool
	}{
		{arrived: 0.1, deadline: 4.1, want: true},
		{arrived: 3.3, deadline: 7.3, want: true},
		{arrived: 3.3, deadline: 7.4, want: true},
		{arrived: 3.5, deadline: 7.5, repeatable: true},
		{arrived: 5.2, deadline: 9.2, usual: 0.01, repeatable: true},
		{arrived: 5.2, deadline: 6.7, want: true},
		{arrived: 1, deadline: 26, usual: 2, want: true},
		{arrived: 1, deadline: 26, usual: 6.5, repeatable: true},
		{arrived: 1, deadline: 26, repeatable: true, want: true},
		{arrived: 1, deadline: 26},
		{arrived: 1, deadline: 26, usual: 6.5, repeatable: true, resumable: true, want: true},
		{arrived: 3, deadline: 26, usual: 1, repeatable: true, resumable: true},
		{arrived: 7.5, deadline: 7.4, usual: 0.01, repeatable: true, resumable: true},
	} {
		r := drain.Request{Arrived: seconds(x.arrived), Deadline: seconds(x.deadline), Usual: seconds(x.usual).Sub(start), Known: x.usual > 0, Repeatable: x.repeatable, Resumable: x.resumable}
		if got := w.Accepts(r); got != x.want {
			t.Errorf("%+v: got %v", x, got)
		}
	}
}

// A host that has ended, but not yet closed its connections, may still get requests.
func TestNothingIsAcceptedAfterTheEnd(t *testing.T) {
	w := drain.Window{Early: seconds(3), Noticed: seconds(3), End: seconds(2)}
	r := drain.Request{Arrived: seconds(2), Deadline: seconds(26), Repeatable: true, Resumable: true}
	if w.Accepts(r) {
		t.Error("a request that arrived at the end was accepted")
	}
}

// Whatever the grace period, a host has time left for requests that it accepts early, and some of the
// last sixth for its last responses.
func TestWindowFitsIntoGracePeriod(t *testing.T) {
	const balancerDelay = 3200 * time.Millisecond
	for grace := 50 * time.Millisecond; grace < time.Hour; grace += grace / 7 {
		w := drain.NewWindow(start, grace, balancerDelay)
		killed := start.Add(grace)
		early, work, closing, rest := w.Early.Sub(start), w.End.Sub(w.Early), w.Close.Sub(w.End), killed.Sub(w.Close)
		if early < grace/4 && early < 2500*time.Millisecond || work < grace/4 {
			t.Errorf("of a grace period of %v, %v are early and %v left for work", grace, early, work)
		}
		if work+early < grace*5/6 {
			t.Errorf("of a grace period of %v, what runs is cut after %v, before the last sixth", grace, early+work)
		}
		if closing < min(grace/13, 250*time.Millisecond) || rest < min(grace/13, 250*time.Millisecond) {
			t.Errorf("of a grace period of %v, %v are left for the last responses and %v after them", grace, closing, rest)
		}
	}
	w := drain.NewWindow(start, 8*time.Second, balancerDelay)
	if got, want := w, (drain.Window{Early: seconds(2.8), Noticed: seconds(3.2), End: seconds(7.36), Close: seconds(7.68)}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A caller that tries again at once comes to the same host until new connections go elsewhere.
func TestRetryAt(t *testing.T) {
	w := drain.Window{Early: seconds(2.8), Noticed: seconds(3.2), End: seconds(7.4)}
	for _, x := range []struct {
		at         float64
		goal, want time.Duration
	}{
		{1, 250 * time.Millisecond, 300 * time.Millisecond},
		{3.1, 250 * time.Millisecond, 300 * time.Millisecond},
		{3.2, 250 * time.Millisecond, 50 * time.Millisecond},
		{7, 10 * time.Millisecond, 50 * time.Millisecond},
		{7, time.Second, 200 * time.Millisecond},
		{7, 4500 * time.Millisecond, 300 * time.Millisecond},
		{7, 0, 300 * time.Millisecond},
	} {
		if got := w.RetryAt(x.goal, seconds(x.at)).Sub(seconds(x.at)); got != x.want {
			t.Errorf("%+v: the caller is to wait %v", x, got)
		}
	}
}

func TestUsualDuration(t *testing.T) {
	var d drain.Durations
	if _, known := d.Usual("reports", start); known {
		t.Error("a duration is known before the first request")
	}
	d.Record("reports", 2*time.Second, start)
	if got, known := d.Usual("reports", start); !known || got != 6*time.Second {
		t.Errorf("got %v, %v after one request of 2 s", got, known)
	}
	for range 50 {
		d.Record("reports", 2*time.Second, start)
	}
	if got, _ := d.Usual("reports", start); got < 2*time.Second || got > 2100*time.Millisecond {
		t.Errorf("got %v after many requests of 2 s", got)
	}
	for i := range 50 {
		d.Record("reports", time.Duration(1+i%3)*time.Second, start)
	}
	if got, _ := d.Usual("reports", start); got < 3*time.Second {
		t.Errorf("got %v after requests of 1 to 3 s", got)
	}
}

// A configuration may rename its routes again and again.
func TestDurationsOfRoutesWithoutRequestsAreForgotten(t *testing.T) {
	var d drain.Durations
	d.Record("old", time.Second, start)
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Minute)
		d.Record(fmt.Sprint("route-", i), time.Second, now)
		d.Record("kept", time.Second, now)
	}
	now := start.Add(20 * time.Minute)
	for _, route := range []string{"old", "route-1"} {
		if _, known := d.Usual(route, now); known {
			t.Errorf("the duration of %s is still known", route)
		}
	}
	if _, known := d.Usual("kept", now); !known {
		t.Error("the duration of a route with requests was forgotten")
	}
	if _, known := d.Usual("kept", now.Add(time.Hour)); known {
		t.Error("a duration is known an hour after the last request")
	}
}

package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
)

// suspected returns a list on which part "first", which all requests have, is suspected at 3 s: the
// request that crashed three servers is known on two of them.
func suspected(t *testing.T) *crashcause.List {
	t.Helper()
	l := crashcause.New()
	for i := range uint64(3) {
		all := []crashcause.Request{request(10*i, "first"), request(10*i+1, "first")}
		if i > 0 {
			all = append(all, request(7, "first"))
		}
		crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), all...)
	}
	if found := l.Evaluate(at(3 * time.Second)); len(found) != 1 || !found[0].Suspected {
		t.Fatalf("got causes %v, want one that is suspected", found)
	}
	return l
}

func TestRequestThatCrashesServersTakesNoServiceOutOfUse(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	if x, refused := l.Refuses(request(20, "first"), now); refused {
		t.Fatalf("no request runs until %v", x.Until.Sub(now))
	}
	if x, refused := l.Refuses(request(21, "first"), now); !refused || !x.Suspected {
		t.Error("a second request runs before the first one has told anything")
	}
	l.RecordSound(request(20, "first"), now.Add(time.Second))
	for i := range uint64(100) {
		if refuses(l, request(100+i, "first"), now.Add(time.Second)) {
			t.Fatal("a request is refused after one like it ran well")
		}
	}
}

func TestCrashInTrialConvictsTheRequestAndNotItsService(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	bad := request(7, "first")
	if refuses(l, bad, now) {
		t.Fatal("no request runs")
	}
	if l.MaySend(bad, true, now) || !l.MaySend(bad, false, now) {
		t.Error("the trial may be sent to a second server, or not to the first")
	}
	crash(l, "s9", now.Add(time.Second), bad)
	l.EndTrial(bad, true, now.Add(time.Second))
	l.Evaluate(now.Add(1300 * time.Millisecond))
	now = now.Add(4 * time.Second)
	if !refuses(l, bad, now) || refuses(l, request(30, "first"), now) {
		t.Error("the requests that are refused are not those that crashed the server")
	}
}

func TestRetryMayBeTheTrial(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	r := request(20, "first")
	if l.MaySend(r, true, now) {
		t.Error("a request under suspicion is sent again beside trials")
	}
	if _, refused := l.RefusesRetry(r, now); refused || !l.MaySend(r, true, now) || !l.MaySend(r, false, now) {
		t.Error("a request that was sent before may not be the trial")
	}
	if _, refused := l.RefusesRetry(r, now); refused || l.MaySend(r, true, now) {
		t.Error("a trial is sent to a second server after the loss of its first")
	}
}

func TestTrialElsewhereIsAwaited(t *testing.T) {
	never := func(string, time.Time) bool { return false }
	l, other := suspected(t), suspected(t)
	now := at(5 * time.Second)
	if refuses(l, request(20, "first"), now) {
		t.Fatal("no request runs")
	}
	other.Merge(l.Report(now), now, never)
	if !refuses(other, request(21, "first"), now) {
		t.Error("two nodes run trials at once")
	}
	l.RecordSound(request(20, "first"), now.Add(time.Second))
	other.Merge(l.Report(now.Add(time.Second)), now.Add(time.Second), never)
	if refuses(other, request(21, "first"), now.Add(time.Second)) {
		t.Error("a request is refused after one ran well at another node")
	}
}

func TestWaitingRequestsAreWoken(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	refuses(l, request(20, "first"), now)
	changed := l.Changed()
	l.RecordSound(request(20, "first"), now.Add(time.Second))
	select {
	case <-changed:
	default:
		t.Error("the end of a suspicion wakes nobody")
	}
}

// Nodes start one after the other, and each hears of the suspicion from the one before only.
func TestSuspicionThatIsHandedOnIsTriedSoon(t *testing.T) {
	never := func(string, time.Time) bool { return false }
	l := suspected(t)
	now := at(4 * time.Second)
	for range 10 {
		r := l.Report(now)
		l = crashcause.New()
		l.Merge(r, now, never)
		now = now.Add(time.Second)
	}
	if refuses(l, request(20, "first"), now.Add(time.Second)) {
		t.Error("no request runs 12 s after the crashes")
	}
}

// Of two trials on one server, one would be blamed for the crash under the other.
func TestTrialsOfTwoSuspicionsRunOneAfterTheOther(t *testing.T) {
	l := crashcause.New()
	for i := range uint64(3) {
		now := at(time.Duration(i+1) * time.Second)
		crash(l, fmt.Sprint("s", i), now, request(10*i, "first", "bad"), request(7, "lookup"))
	}
	l.Evaluate(at(3 * time.Second))
	now := at(6 * time.Second)
	if refuses(l, request(7, "lookup"), now) {
		t.Fatal("no request runs")
	}
	if x, refused := l.Refuses(request(50, "first", "bad"), now); !refused || !x.Suspected {
		t.Error("another trial runs beside it")
	}
	l.RecordSound(request(7, "lookup"), now.Add(time.Second))
	if refuses(l, request(50, "first", "bad"), now.Add(time.Second)) {
		t.Error("the other trial does not follow")
	}
}

// A trial of each cause, whatever it rested on, crashed further servers, and was forgotten with the hosts:
// what others of the class refute and not all requests have is quarantined at once.
func TestCauseThatOthersRefuteNeedsNoTrial(t *testing.T) {
	for _, x := range []struct {
		name           string
		sound, without bool // a request ran well; one without the part was on each server
		suspected      bool
	}{
		{"others ran well, and not all have it", true, true, false},
		{"all have it", true, false, true},
		{"nothing ran well", false, true, true},
	} {
		l := crashcause.New()
		if x.sound {
			l.RecordSound(request(100, "first", "second"), at(0))
		}
		for i := range uint64(3) {
			all := []crashcause.Request{request(i, "first", "bad")}
			if x.without {
				all = append(all, request(50+i, "first", fmt.Sprint("other", i)))
			}
			crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), all...)
		}
		found := l.Evaluate(at(3 * time.Second))
		if len(found) != 1 || found[0].Suspected != x.suspected {
			t.Errorf("%s: got causes %v, want one, suspected %v", x.name, found, x.suspected)
		}
	}
}

// A trial that no server had accepted at first was sent to two servers.
func TestTrialIsSentToOneServerAfterOneThatDidNotAcceptIt(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	r := request(20, "first")
	if _, refused := l.RefusesRetry(r, now); refused || !l.MaySend(r, false, now) || !l.MaySend(r, false, now) {
		t.Fatal("a request that was sent before may not be the trial")
	}
	if _, refused := l.RefusesRetry(r, now); refused || l.MaySend(r, true, now) {
		t.Error("the trial is sent to a second server after the loss of its first")
	}
}

// A crash on another server took the trial from its host, so that its request and others were sent beside it.
func TestTrialEndsWithItsOwnOutcomeOnly(t *testing.T) {
	now := at(6 * time.Second)
	r := request(20, "first")
	for name, x := range map[string]struct {
		request crashcause.Request
		at      time.Time
	}{
		"a request that was sent before":  {request(40, "first"), now.Add(100 * time.Millisecond)},
		"an earlier attempt of the trial": {r, now.Add(-100 * time.Millisecond)},
	} {
		l := suspected(t)
		if _, refused := l.RefusesRetry(r, now); refused || !l.MaySend(r, true, now) {
			t.Fatalf("%s: no request runs", name)
		}
		crash(l, "s8", x.at, x.request)
		l.Evaluate(now.Add(400 * time.Millisecond))
		later := now.Add(4 * time.Second)
		if _, refused := l.RefusesRetry(r, later); !refused && l.MaySend(r, true, later) {
			t.Errorf("%s: the trial is sent to a second server", name)
		}
		if !refuses(l, request(21, "first"), later) {
			t.Errorf("%s: a second trial runs beside the first", name)
		}
		if crash(l, "s9", later, r); l.OnTrial(r) {
			t.Errorf("%s: the trial goes on after the crash of its server", name)
		}
	}
}

func TestTrialOutlastsAFindingOfAnotherHost(t *testing.T) {
	l, other := suspected(t), crashcause.New()
	now := at(7 * time.Second)
	r := request(20, "first")
	if refuses(l, r, now) {
		t.Fatal("no request runs")
	}
	never := func(string, time.Time) bool { return false }
	for i := range uint64(3) {
		crash(other, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), request(10*i, "first"), request(10*i+1, "first"))
	}
	if found := other.Evaluate(now); len(found) != 1 {
		t.Fatalf("got causes %v, want one", found)
	}
	l.Merge(other.Report(now), now, never)
	if !l.OnTrial(r) || !refuses(l, request(21, "first"), now.Add(4*time.Second)) {
		t.Error("the host gives up its trial")
	}
}

func TestTrialEndsWithACrashThatWasJudgedBefore(t *testing.T) {
	l := suspected(t)
	now := at(6 * time.Second)
	r := request(20, "first")
	if refuses(l, r, now) {
		t.Fatal("no request runs")
	}
	crash(l, "s9", now.Add(time.Second), request(40, "first"))
	l.Evaluate(now.Add(1200 * time.Millisecond))
	if !l.OnTrial(r) {
		t.Fatal("the crash of a server that the trial is not known on ends it")
	}
	crash(l, "s9", now.Add(time.Second), r)
	if l.OnTrial(r) || refuses(l, request(21, "first"), now.Add(3500*time.Millisecond)) {
		t.Error("the trial goes on after the crash of its server")
	}
}

// A conviction was taken back when another host reported the same cause as a suspicion that had given way to a
// wider one, so that each trial crashed a server and convicted in vain.
func TestConvictionOutlivesSuspicionThatGaveWay(t *testing.T) {
	l := suspected(t)
	now := at(5 * time.Second)
	bad := request(7, "first")
	if refuses(l, bad, now) {
		t.Fatal("no request runs")
	}
	crash(l, "s9", now.Add(time.Second), bad)
	now = now.Add(1300 * time.Millisecond)
	found := l.Evaluate(now)
	if len(found) == 0 || found[0].Suspected {
		t.Fatalf("got causes %v, want one that is convicted", found)
	}
	var r crashcause.Report
	for _, c := range found {
		r.Causes = append(r.Causes, crashcause.CauseReport{Features: c.Features, Class: bad.Class, Age: 2 * time.Second, Probation: &crashcause.ProbationReport{}})
	}
	l.Merge(r, now, func(string, time.Time) bool { return false })
	if !refuses(l, bad, now.Add(3*time.Second)) {
		t.Error("the request that crashed the servers is let through")
	}
}

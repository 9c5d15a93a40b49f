package crashcause_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
)

var start = time.Unix(1e9, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// request returns a request with the given parts and a fingerprint.
func request(fingerprint uint64, parts ...string) crashcause.Request {
	all := []crashcause.Feature{crashcause.WholeRequest(fingerprint)}
	for _, p := range parts {
		all = append(all, crashcause.PromptPart("m", p))
	}
	return crashcause.NewRequest("m", all...)
}

func refuses(l *crashcause.List, r crashcause.Request, now time.Time) bool {
	_, refused := l.Refuses(r, now)
	return refused
}

func crash(l *crashcause.List, server string, t time.Time, all ...crashcause.Request) {
	l.RecordCrash(crashcause.Crash{Server: server, At: t, Requests: all})
}

// quarantined returns a list on which part "bad" is quarantined at 3 s.
func quarantined(t *testing.T) *crashcause.List {
	t.Helper()
	l := crashcause.New()
	l.RecordSound(request(100, "first", "second"), at(0))
	for i := range uint64(3) {
		crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), request(i, "first", "bad"))
	}
	if found := l.Evaluate(at(3 * time.Second)); len(found) != 1 || len(found[0].Features) != 1 || len(found[0].Servers) != 3 {
		t.Fatalf("got causes %v, want one", found)
	}
	return l
}

func TestOnlyRequestsWithPartAreRefused(t *testing.T) {
	l := quarantined(t)
	if !refuses(l, request(9, "bad", "other"), at(4*time.Second)) {
		t.Error("a request with the part is not refused")
	}
	if refuses(l, request(9, "first", "second"), at(4*time.Second)) {
		t.Error("a request that shares all other parts is refused")
	}
	if l.MaySend(request(9, "bad"), false, at(4*time.Second)) {
		t.Error("a request with the part may be sent")
	}
}

func TestPartIsTriedAgainByOneRequestAtATime(t *testing.T) {
	l := quarantined(t)
	now := at(10 * time.Minute)
	if refuses(l, request(9, "bad"), now) {
		t.Fatal("no request is let through after the quarantine")
	}
	if !refuses(l, request(10, "bad"), now.Add(time.Second)) {
		t.Error("a second request is let through")
	}
	if l.MaySend(request(9, "bad"), true, now.Add(time.Second)) {
		t.Error("the first one may be sent again after the loss of its server")
	}
	crash(l, "s9", now.Add(2*time.Second), request(9, "bad"))
	if !refuses(l, request(10, "bad"), now.Add(9*time.Minute)) {
		t.Error("a crash under the part does not double the quarantine")
	}
	l.RecordSound(request(10, "bad"), now.Add(31*time.Minute))
	if refuses(l, request(11, "bad"), now.Add(31*time.Minute)) || refuses(l, request(12, "bad"), now.Add(31*time.Minute)) {
		t.Error("a part of a request that ran well is still refused")
	}
}

func TestPartsOfSoundRequestsAreAcquitted(t *testing.T) {
	l := crashcause.New()
	for i := range uint64(3) {
		crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), request(i, "first", "bad"))
	}
	l.Evaluate(at(3 * time.Second))
	if refuses(l, request(9, "first", "other"), at(4*time.Second)) {
		t.Error("a request with one of two parts is refused")
	}
	if !refuses(l, request(9, "first", "bad"), at(4*time.Second)) {
		t.Error("a request with both parts is not refused")
	}
	l.RecordSound(request(9, "first", "other"), at(5*time.Second))
	if !refuses(l, request(9, "bad"), at(6*time.Second)) {
		t.Error("a request with the part that remains is not refused")
	}
}

func TestSoundRunBetweenCrashesIsNotForgotten(t *testing.T) {
	l := crashcause.New()
	for i := range 4 {
		now := at(time.Duration(i) * 3 * time.Minute)
		crash(l, fmt.Sprint("s", i), now, request(uint64(i), "rare"))
		l.RecordSound(request(uint64(10+i), "rare"), now.Add(30*time.Second))
		l.Expire(now.Add(170 * time.Second))
	}
	crash(l, "s9", at(12*time.Minute), request(9, "rare"))
	if found := l.Evaluate(at(12 * time.Minute)); len(found) > 0 {
		t.Errorf("got causes %v", found)
	}
}

func TestRepeatedRequestIsRefusedAsWhole(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first"), at(0))
	for i := range 3 {
		crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), request(7, "first"))
	}
	l.Evaluate(at(3 * time.Second))
	r, refused := l.Refuses(request(7, "first"), at(4*time.Second))
	if !refused || !slices.Equal(r.Features, []crashcause.Feature{crashcause.WholeRequest(7)}) {
		t.Errorf("got %v, %v; want a refusal of the whole request", r, refused)
	}
	if refuses(l, request(8, "first"), at(4*time.Second)) {
		t.Error("another request is refused")
	}
}

// checkOneRunAcquits checks that causes are suspected at most, and that a request with a part runs
// soon, after which all do.
func checkOneRunAcquits(t *testing.T, l *crashcause.List, found []crashcause.Cause, now time.Time, part string) {
	t.Helper()
	if slices.ContainsFunc(found, func(c crashcause.Cause) bool { return !c.Suspected }) {
		t.Errorf("got causes %v", found)
	}
	now = now.Add(2 * time.Second)
	if refuses(l, request(7000, part), now) {
		t.Error("no request with the part runs 2 s later")
	}
	l.RecordSound(request(7000, part), now.Add(time.Second))
	l.Evaluate(now.Add(time.Second))
	for i := range uint64(3) {
		if refuses(l, request(8000+i, part), now.Add(time.Second)) {
			t.Error("a request with the part is refused after one ran well")
		}
	}
}

func TestCrashesWithOthersLostAreNoEvidence(t *testing.T) {
	for name, x := range map[string]struct {
		spacing  time.Duration
		lostWith []string
	}{
		"at one moment":                      {0, nil},
		"with servers that ran other things": {time.Second, []string{"other"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, sound := range []bool{true, false} {
				l := crashcause.New()
				crashes := uint64(5)
				if sound {
					l.RecordSound(request(100, "elsewhere"), at(0))
					crashes = 4
				}
				for i := range crashes {
					l.RecordCrash(crashcause.Crash{
						Server: fmt.Sprint("s", i), At: at(time.Duration(i) * x.spacing), LostWith: x.lostWith, Requests: []crashcause.Request{request(i, "first")},
					})
				}
				found := l.Evaluate(at(5 * time.Second))
				if sound && len(found) > 0 {
					t.Errorf("got causes %v", found)
				}
				checkOneRunAcquits(t, l, found, at(5*time.Second), "first")
			}
		})
	}
}

// Other servers are lost at each moment at which one crashes under the request.
func TestRequestAtManyLossesIsTheCause(t *testing.T) {
	for _, x := range []struct {
		moments int
		sound   bool // other requests run well meanwhile
		want    int
	}{{4, true, 0}, {5, true, 1}, {9, false, 0}} {
		l := crashcause.New()
		for i := range x.moments {
			if x.sound {
				l.RecordSound(request(100, "first"), at(time.Duration(i)*time.Second))
			}
			for j := range 2 { // servers of one moment
				l.RecordCrash(crashcause.Crash{
					Server: fmt.Sprint("s", i, j), At: at(time.Duration(i) * time.Second), LostWith: []string{fmt.Sprint("s", i, "other")},
					Requests: []crashcause.Request{request(7, "first"), request(uint64(1000+2*i+j), "first")},
				})
			}
		}
		found := l.Evaluate(at(10 * time.Second))
		if !x.sound {
			checkOneRunAcquits(t, l, found, at(10*time.Second), "first")
			continue
		}
		if len(found) != x.want {
			t.Errorf("%d moments, sound requests %v: got causes %v, want %d", x.moments, x.sound, found, x.want)
		}
		if refuses(l, request(8, "first"), at(10*time.Second)) {
			t.Errorf("%d moments, sound requests %v: another request is refused", x.moments, x.sound)
		}
	}
}

// A burst of crashes at one moment, and one more later beside another loss.
func TestCrashAfterBurstTellsTheCause(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first"), at(0))
	for i := range uint64(5) {
		crash(l, fmt.Sprint("s", i), at(time.Second+time.Duration(i)*30*time.Millisecond), request(i, "first", "bad"))
	}
	if found := l.Evaluate(at(2 * time.Second)); len(found) > 0 {
		t.Errorf("got causes %v after one moment", found)
	}
	l.RecordCrash(crashcause.Crash{Server: "s9", At: at(8 * time.Second), LostWith: []string{"other"}, Requests: []crashcause.Request{request(9, "first", "bad")}})
	l.Evaluate(at(9 * time.Second))
	if !refuses(l, request(10, "first", "bad"), at(9*time.Second)) || refuses(l, request(10, "first"), at(9*time.Second)) {
		t.Error("the requests that are refused are not those with the part")
	}
}

func TestServersLostTogetherUnderPartAreEvidence(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first"), at(0))
	for i := range uint64(4) {
		l.RecordCrash(crashcause.Crash{
			Server: fmt.Sprint("s", i), At: at(time.Duration(i/2) * time.Second), Requests: []crashcause.Request{request(i, "first", "bad")},
			LostWith: []string{fmt.Sprint("s", i^1)},
		})
	}
	if found := l.Evaluate(at(2 * time.Second)); len(found) != 1 {
		t.Errorf("got causes %v, want one", found)
	}
}

// Requests with a part that crashes servers end others with the same parts, on the same servers.
func TestPartsOfRequestsThatWereEndedAreNotTheCause(t *testing.T) {
	for name, sound := range map[string]bool{"no request has run well": false, "requests without the parts have run well": true} {
		t.Run(name, func(t *testing.T) {
			l := crashcause.New()
			if sound {
				l.RecordSound(request(100, "elsewhere"), at(0))
			}
			for i := range uint64(9) {
				now := at(time.Duration(i) * time.Second)
				crash(l, fmt.Sprint("s", i), now, request(10*i, "first", "bad"), request(10*i+1, "first"), request(10*i+2, "first", fmt.Sprint(i)))
				l.Evaluate(now)
				if refuses(l, request(1000, "first", "other"), now) {
					t.Fatalf("a request without the part is refused after %d crashes", i+1)
				}
			}
			if !refuses(l, request(1000, "first", "bad"), at(9*time.Second)) {
				t.Error("a request with the part is not refused")
			}
		})
	}
}

func TestCrashesOfServerThatKeepsItsName(t *testing.T) {
	for name, x := range map[string]struct {
		spacing time.Duration
		want    int
	}{
		"repeated reports of one crash": {500 * time.Millisecond, 0},
		"crashes after restarts":        {4 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := crashcause.NewForReusedNames()
			l.RecordSound(request(100, "first"), at(0))
			for i := range uint64(3) {
				crash(l, "s", at(time.Duration(i)*x.spacing), request(i, "first", "bad"))
			}
			if found := l.Evaluate(at(10 * time.Second)); len(found) != x.want {
				t.Errorf("got causes %v, want %d", found, x.want)
			}
		})
	}
}

func TestRelatedCrashesAtOneMomentAreNoEvidence(t *testing.T) {
	for _, related := range []bool{true, false} {
		l := crashcause.NewForReusedNames()
		for i := range uint64(4) {
			now := at(time.Duration(i) * 10 * time.Second)
			crash(l, "a", now, request(i, "first"))
			crash(l, "b", now.Add(100*time.Millisecond), request(100+i, "other"))
		}
		l.RelateCrashes(func(string, string) bool { return related })
		if found := l.Evaluate(at(time.Minute)); (len(found) == 0) != related {
			t.Errorf("related %v: got causes %v", related, found)
		}
	}
}

// Of one crash the request with the part that caused it is not known.
func TestFirstPartWithMoreCrashesThanTheCauseIsNotQuarantined(t *testing.T) {
	for name, sound := range map[string]bool{"no request has run well": false, "requests without the parts have run well": true} {
		t.Run(name, func(t *testing.T) {
			l := crashcause.New()
			if sound {
				l.RecordSound(request(100, "elsewhere"), at(0))
			}
			for i := range uint64(6) {
				all := []crashcause.Request{request(10*i, "first")}
				if i != 3 {
					all = append(all, request(10*i+1, "first", "bad"))
				}
				crash(l, fmt.Sprint("s", i), at(time.Duration(i)*time.Second), all...)
			}
			l.Evaluate(at(6 * time.Second))
			if refuses(l, request(1000, "first"), at(6*time.Second)) {
				t.Error("a request without the part is refused")
			}
			if !refuses(l, request(1000, "first", "bad"), at(6*time.Second)) {
				t.Error("a request with the part is not refused")
			}
		})
	}
}

// On few of the servers other requests were known beside those with the part, but there were
// many of these.
func TestFirstPartOfManyRequestsOnFewServersIsNotQuarantined(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "elsewhere"), at(0))
	for i := range uint64(9) {
		var all []crashcause.Request
		if i < 8 {
			all = append(all, request(1000+i, "first", "bad"))
		}
		if i >= 6 {
			all = append(all, request(10*i, "first"), request(10*i+1, "first"), request(10*i+2, "first"))
		}
		crash(l, fmt.Sprint("s", i), at(time.Duration(i)*200*time.Millisecond), all...)
	}
	l.Evaluate(at(3 * time.Second))
	if refuses(l, request(5000, "first"), at(3*time.Second)) {
		t.Error("a request without the part is refused")
	}
	if !refuses(l, request(5000, "first", "bad"), at(3*time.Second)) {
		t.Error("a request with the part is not refused")
	}
}

// Servers are lost together: on each of them some request with the first part is known, on a few
// none with the part that crashes servers.
func TestFirstPartIsNotQuarantinedBecauseItIsKnownOnAllLostServers(t *testing.T) {
	l := crashcause.New()
	for i := range uint64(8) {
		all := []crashcause.Request{request(10*i, "first")}
		if i%4 != 0 {
			all = append(all, request(10*i+1, "first", "bad"))
		}
		moment := i / 4
		l.RecordCrash(crashcause.Crash{
			Server: fmt.Sprint("s", i), At: at(time.Duration(moment) * time.Second), Requests: all,
			LostWith: []string{fmt.Sprint("s", 4*moment), fmt.Sprint("s", 4*moment+1)},
		})
	}
	l.Evaluate(at(3 * time.Second))
	if refuses(l, request(5000, "first"), at(3*time.Second)) {
		t.Error("a request without the part is refused")
	}
}

// Of three servers that crashed, the request with the part that caused it is known on two yet.
func TestFirstPartIsNotQuarantinedBeforeAllRequestsAreKnown(t *testing.T) {
	l := crashcause.New()
	for i := range uint64(3) {
		all := []crashcause.Request{request(10*i, "first"), request(10*i+1, "first")}
		if i > 0 {
			all = append(all, request(10*i+2, "first", "bad"))
		}
		crash(l, fmt.Sprint("s", i), at(time.Duration(i)*time.Second), all...)
	}
	l.Evaluate(at(3 * time.Second))
	if refuses(l, request(5000, "first"), at(3*time.Second)) {
		t.Error("a request without the part is refused")
	}
}

func TestReportedCausesAreApplied(t *testing.T) {
	l := quarantined(t)
	never := func(string, time.Time) bool { return false }
	young := crashcause.New()
	causes, crashed := young.Merge(l.Report(at(4*time.Second)), at(4*time.Second), never)
	if len(causes) != 1 || !crashed || !refuses(young, request(9, "bad"), at(4*time.Second)) {
		t.Fatalf("got causes %v and crashes %v, or the part is not refused", causes, crashed)
	}
	if causes, crashed := young.Merge(l.Report(at(5*time.Second)), at(5*time.Second), never); len(causes) > 0 || crashed {
		t.Error("a repeated report has an effect")
	}
	young.RecordSound(request(9, "bad"), at(6*time.Second))
	l.Merge(young.Report(at(7*time.Second)), at(7*time.Second), never)
	if refuses(l, request(9, "bad"), at(8*time.Second)) {
		t.Error("a part that was acquitted elsewhere is still refused")
	}
	young.Merge(crashcause.Report{Causes: []crashcause.CauseReport{{}}}, at(7*time.Second), never)
}

func TestNodesTryCauseAgainOneAfterTheOther(t *testing.T) {
	l := quarantined(t)
	if refuses(l, request(8, "bad"), at(6*time.Second)) {
		t.Fatal("no request runs as a trial")
	}
	crash(l, "s8", at(7*time.Second), request(8, "bad"))
	r := l.Report(at(8 * time.Second))
	nodes := []*crashcause.List{l}
	for range 400 {
		x := crashcause.New()
		x.Merge(r, at(8*time.Second), func(string, time.Time) bool { return false })
		nodes = append(nodes, x)
	}
	now := at(8 * time.Second).Add(r.Causes[0].Left + 5*time.Second)
	tried := 0
	for _, x := range nodes {
		if !refuses(x, request(9, "bad"), now) {
			tried++
		}
	}
	if tried != 1 {
		t.Errorf("%d of %d nodes let a request through within 5 s, want 1", tried, len(nodes))
	}
}

func TestCauseFoundAgainOutlivesItsOlderRelease(t *testing.T) {
	never := func(string, time.Time) bool { return false }
	l := quarantined(t)
	l.RecordSound(request(9, "bad"), at(10*time.Second))
	released := l.Report(at(11 * time.Second))
	l.RecordSound(request(100, "first"), at(110*time.Second))
	for i := range uint64(3) {
		crash(l, fmt.Sprint("t", i), at(2*time.Minute+time.Duration(i)*time.Second), request(i, "first", "bad"))
	}
	now := at(2*time.Minute + 5*time.Second)
	if found := l.Evaluate(now); len(found) != 1 {
		t.Fatalf("got causes %v, want one", found)
	}
	other := crashcause.New()
	if causes, _ := other.Merge(released, at(11*time.Second), never); len(causes) > 0 {
		t.Errorf("the released cause is new to another node: %v", causes)
	}
	l.Merge(other.Report(now), now, never)
	other.Merge(l.Report(now), now, never)
	if !refuses(l, request(9, "bad"), now) || !refuses(other, request(9, "bad"), now) {
		t.Error("a request with the part is not refused")
	}
}

func TestCrashOfServerInContactIsNotRecorded(t *testing.T) {
	l, other := quarantined(t), crashcause.New()
	r := l.Report(at(4 * time.Second))
	r.Causes = nil
	other.Merge(r, at(4*time.Second), func(server string, _ time.Time) bool { return server == "s1" })
	if found := other.Evaluate(at(4 * time.Second)); len(found) > 0 {
		t.Errorf("got causes %v", found)
	}
}

func TestStateIsBounded(t *testing.T) {
	l := crashcause.New()
	var n uint64
	for i := range uint64(1000) {
		var all []string
		for range 40 {
			n++
			all = append(all, fmt.Sprint("part-", n))
		}
		now := at(time.Duration(i) * 100 * time.Millisecond)
		l.RecordSound(request(n, all...), now)
		n++
		for j := range uint64(3) {
			crash(l, fmt.Sprint("s", i, "-", j), now.Add(time.Duration(j)*time.Second), request(n, all[0]+"x"))
		}
		if i%50 == 0 {
			l.Evaluate(now.Add(3 * time.Second))
		}
	}
	r := l.Report(at(5 * time.Minute))
	if len(r.Crashes) > 64 || len(r.Causes) > 64 || len(r.Sound) > 256 {
		t.Errorf("a report has %d crashes, %d causes and %d features", len(r.Crashes), len(r.Causes), len(r.Sound))
	}
	l.Expire(at(5 * time.Hour))
	if r := l.Report(at(5 * time.Hour)); len(r.Causes) > 0 {
		t.Errorf("%d causes are kept after their retention", len(r.Causes))
	}
}

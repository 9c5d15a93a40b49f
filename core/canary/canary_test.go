package canary_test

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	"cicadabeam/core/canary"
)

func record(r *canary.Recorder, n int, isNew, failed bool, d time.Duration, ms int64) {
	for range n {
		a := r.Begin(canary.Request{Service: "x", Route: "r", Server: "s", DataCentre: "a", New: isNew}, ms)
		if !failed {
			a.Respond(d)
		}
		a.End(failed, 0)
	}
}

// Guards against evidence that counts twice, or is lost, when reports come late, twice or through a
// gateway that has another report of one host.
func TestReportsThatComeTwiceOrLateChangeNothing(t *testing.T) {
	a, b := canary.NewRecorder(), canary.NewRecorder()
	for _, r := range []*canary.Recorder{a, b} {
		r.Watch(map[string]uint64{"x": 7})
		record(r, 10, true, false, time.Millisecond, 1500)
	}
	early, other := a.Report(1600), b.Report(1600)
	record(a, 5, true, true, 0, 1700)
	late := a.Report(2500)
	c := canary.NewCollector()
	for _, r := range []canary.Report{late, early, early, late} {
		c.Merge("a", r)
	}
	c.Merge("b", other)
	sum := c.Report()["x"]
	k := canary.Stratum{Route: "r", DataCentre: "a", Server: "s"}
	if x := sum.Windows[1][k]; x.Sent != 25 || x.Failed != 5 || x.Lost != 5 || sum.AtMS != 1600 {
		t.Errorf("sum %+v at %d, want 25 sent, 5 failed at 1600", x, sum.AtMS)
	}
	j := canary.NewJudge(7, 0, 0)
	for range 3 {
		j.Merge("dc", sum)
	}
	j.Merge("dc", canary.ServiceReport{OrderID: 6, Windows: sum.Windows})
	if v := j.Verdict(); v.Exposed != 25 || v.Bad != 5 {
		t.Errorf("exposed %d, bad %d, want 25 and 5", v.Exposed, v.Bad)
	}
	if v := canary.NewJudge(7, 90, 30).Verdict(); v.Exposed != 90 || v.Bad != 30 {
		t.Errorf("totals of an earlier driver: %+v", v)
	}
}

// Guards against a report that grows with the roll-out's length, that misses the late outcome of a
// stream, or that can't be sent.
func TestReportHasRecentAndChangedWindows(t *testing.T) {
	r := canary.NewRecorder()
	r.Watch(map[string]uint64{"x": 7})
	stream := r.Begin(canary.Request{Service: "x", Route: "r", DataCentre: "a"}, 1000)
	stream.Respond(time.Second)
	for ms := int64(2000); ms < 15_000; ms += 1000 {
		record(r, 1, false, false, time.Millisecond, ms)
		r.Report(ms)
	}
	if n := len(r.Report(14_500)["x"].Windows); n > 10 {
		t.Errorf("%d windows in a report, want 10 at most", n)
	}
	stream.End(true, 30*time.Millisecond)
	x := r.Report(14_600)
	if c := x["x"].Windows[1][canary.Stratum{Route: "r", DataCentre: "a"}]; c.Failed != 1 || c.Lost != 0 {
		t.Errorf("the window of a stream that broke off late: %+v", c)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(x); err != nil {
		t.Fatal(err)
	}
	var y canary.Report
	if err := gob.NewDecoder(&b).Decode(&y); err != nil || !reflect.DeepEqual(x, y) {
		t.Errorf("decoded %+v, want %+v (%v)", y, x, err)
	}
	r.Watch(nil)
	if r.Begin(canary.Request{Service: "x"}, 15_000) != nil || r.Report(15_000) != nil {
		t.Error("a service without an order is counted")
	}
}

// Guards against a slow version whose fast responses come first: those that are still awaited are slow.
func TestRequestsWithoutAResponseAreSlowAfterAWhile(t *testing.T) {
	r := canary.NewRecorder()
	r.Watch(map[string]uint64{"x": 7})
	j := canary.NewJudge(7, 0, 0)
	for ms := int64(0); ms < 9000; ms += 100 {
		record(r, 10, false, false, 100*time.Millisecond, ms)
		for _, server := range []string{"s", "t"} {
			r.Begin(canary.Request{Service: "x", Route: "r", Server: server, DataCentre: "a", New: true}, ms)
		}
	}
	j.Merge("a", r.Report(9100)["x"])
	if v := j.Verdict(); v.Result != canary.Bad {
		t.Errorf("verdict %+v on requests without responses, want bad", v)
	}
}

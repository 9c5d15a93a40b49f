package serverlimit_test

import (
	"math"
	"testing"
	"time"

	"cicadabeam/core/serverlimit"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{
		"8.3": 8.3, " 5 ": 5, "0": 0, "0.5,4": 0.5, "9, 4": 4, "1e9": 1e9, "1e999": math.Inf(1),
		"": -1, "-1": -1, "nan": -1, "ten": -1, "5,": -1, "5 a second": -1,
	} {
		if got, valid := serverlimit.Parse(text); valid != (want >= 0) || valid && got != want {
			t.Errorf("%q: got %v, %v; want %v", text, got, valid, want)
		}
	}
}

func TestLimitHoldsUntilAResponseDoesNotNameIt(t *testing.T) {
	at := time.Unix(1e9, 0)
	a, b := serverlimit.NewTable(), serverlimit.NewTable()
	if !a.Name("s", 5, at) || a.Name("s", 5, at.Add(time.Second)) || !a.Name("s", 6, at.Add(2*time.Second)) {
		t.Error("a limit is news when it is new or another one only")
	}
	b.Merge("a", a.Report(at.Add(2*time.Second)), 1, at.Add(2*time.Second))
	if limit, _, found := b.Limit("s", at.Add(3*time.Second)); !found || limit != 6 {
		t.Errorf("the other node knows limit %v, %v; want 6", limit, found)
	}
	if a.End("s", at.Add(2100*time.Millisecond)) {
		t.Error("a response that was on its way ends the limit")
	}
	if !b.End("s", at.Add(5*time.Second)) || b.Any() {
		t.Error("a response without the limit does not end it")
	}
	a.Merge("b", b.Report(at.Add(6*time.Second)), 1, at.Add(6*time.Second))
	if a.Any() {
		t.Error("the other node does not learn of the end")
	}
	b.Merge("a", serverlimit.Report{"s": {Limit: 6, Age: 3 * time.Second}}, 1, at.Add(6*time.Second))
	if b.Any() {
		t.Error("an older statement undoes the end")
	}
	if a.Name("s", 1e7, at.Add(7*time.Second)); a.Any() {
		t.Error("a limit that limits nothing counts")
	}
}

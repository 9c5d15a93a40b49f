package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/quarantine"
)

type death struct {
	request quarantine.Fingerprint
	server  string
	tokens  int
	at      time.Duration
}

func TestEvaluate(t *testing.T) {
	cases := map[string]struct {
		deaths  []death
		isCause map[quarantine.Fingerprint]bool
	}{
		"one death":                               {[]death{{1, "a", 0, 0}}, map[quarantine.Fingerprint]bool{1: false}},
		"two early deaths":                        {[]death{{1, "a", 0, 0}, {1, "b", 3, time.Second}}, map[quarantine.Fingerprint]bool{1: true}},
		"two deaths after similar token counts":   {[]death{{1, "a", 90, 0}, {1, "b", 91, time.Minute}}, map[quarantine.Fingerprint]bool{1: true}},
		"death right after resume":                {[]death{{1, "a", 90, 0}, {1, "b", 0, time.Second}}, map[quarantine.Fingerprint]bool{1: true}},
		"two deaths after different token counts": {[]death{{1, "a", 30, 0}, {1, "b", 70, time.Minute}}, map[quarantine.Fingerprint]bool{1: false}},
		"three deaths":                            {[]death{{1, "a", 30, 0}, {1, "b", 70, time.Minute}, {1, "c", 200, time.Hour}}, map[quarantine.Fingerprint]bool{1: true}},
		"one server twice":                        {[]death{{1, "a", 0, 0}, {1, "a", 0, time.Second}}, map[quarantine.Fingerprint]bool{1: false}},
		"unrelated request on both servers": {
			[]death{{1, "a", 2, 0}, {2, "a", 300, 0}, {1, "b", 2, time.Second}, {2, "b", 4, time.Second}},
			map[quarantine.Fingerprint]bool{1: true, 2: false},
		},
		"rack failure": {
			[]death{{1, "a", 50, 0}, {1, "b", 0, 20 * time.Millisecond}, {2, "c", 50, 0}, {3, "d", 50, 0}},
			map[quarantine.Fingerprint]bool{1: false, 2: false, 3: false},
		},
		"rack failure of three servers": {
			[]death{{1, "a", 95, 0}, {2, "c", 95, 0}, {1, "b", 0, 2 * time.Millisecond}},
			map[quarantine.Fingerprint]bool{1: false, 2: false},
		},
		"rack failure of three servers during a new request": {
			[]death{{1, "a", 1, 0}, {2, "c", 95, 0}, {1, "b", 0, 2 * time.Millisecond}},
			map[quarantine.Fingerprint]bool{1: false},
		},
		"another server dies with each of four": {beside(4), map[quarantine.Fingerprint]bool{1: false, 2: false}},
		"another server dies with each of five": {beside(5), map[quarantine.Fingerprint]bool{1: true, 2: false}},
		"two simultaneous deaths": {
			[]death{{1, "a", 95, 0}, {1, "b", 0, 2 * time.Millisecond}},
			map[quarantine.Fingerprint]bool{1: false},
		},
		"rack failure, then another death": {
			[]death{{1, "a", 50, 0}, {2, "c", 50, 0}, {3, "d", 50, 0}, {1, "e", 4, 2 * time.Second}},
			map[quarantine.Fingerprint]bool{1: false},
		},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			l := quarantine.New()
			start := time.Now()
			now := start
			for _, d := range x.deaths {
				now = start.Add(d.at)
				l.RecordDeath(quarantine.Suspicion{Fingerprint: d.request, Server: d.server, Tokens: d.tokens}, now)
			}
			for f, want := range x.isCause {
				if got := l.Evaluate(f, now); got != want {
					t.Errorf("request %v: Evaluate returned %v, want %v", f, got, want)
				}
			}
		})
	}
}

// beside returns n early deaths under request 1, each with that of a server that ran request 2
// for long.
func beside(n int) []death {
	var all []death
	for i := range n {
		at := time.Duration(i) * time.Second
		all = append(all, death{1, fmt.Sprint("a", i), 0, at}, death{2, fmt.Sprint("b", i), 100 * (i + 1), at})
	}
	return all
}

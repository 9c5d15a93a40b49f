package check_test

import (
	"strings"
	"testing"

	"cicadabeam/core/fault"
	"cicadabeam/test/check"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
)

// log holds request m, which was resumed after two tokens as its engine died and also
// has generation cc from the beginning, and request other.
var log = []engine.Record{
	{Event: "start", Generation: "aa", Marker: "m"},
	{Event: "start", Generation: "bb", Marker: "m", From: 2, Prefix: " t0.aa t1.aa"},
	{Event: "start", Generation: "cc", Marker: "m"},
	{Event: "start", Generation: "dd", Marker: "other"},
}

// CompleteAnswer must detect missing, repeated, truncated and mixed tokens.
func TestAnswer(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"resumed once":                 {" t0.aa t1.aa t2.bb t3.bb", ""},
		"one generation":               {" t0.cc t1.cc t2.cc t3.cc", ""},
		"token missing":                {" t0.aa t1.aa t3.bb t4.bb", "token 3 found at position 2"},
		"token repeated":               {" t0.aa t1.aa t1.aa t2.bb", "token 1 found at position 2"},
		"end missing":                  {" t0.aa t1.aa t2.bb", "3 tokens, not 4"},
		"too long":                     {" t0.cc t1.cc t2.cc t3.cc t4.cc", "5 tokens, not 4"},
		"truncated token":              {" t0.aa t1.aa t2.bb t3", "not a complete token"},
		"second one from the start":    {" t0.aa t1.cc t2.cc t3.cc", "was started from 0 bytes"},
		"resumed from another text":    {" t0.aa t1.cc t2.bb t3.bb", "was started from"},
		"answer of another request":    {" t0.dd t1.dd t2.dd t3.dd", "belongs to request other"},
		"generation not logged":        {" t0.ee t1.ee t2.ee t3.ee", "no engine logged"},
		"back to the first generation": {" t0.aa t1.aa t2.bb t3.aa", "was started from"},
	}
	for name, x := range cases {
		checkError(t, name, check.CompleteAnswer(x.text, 4, "m", log), x.want)
	}
}

// checkError checks that an error contains a text, or that there is none if the text is
// empty.
func checkError(t *testing.T, name string, err error, want string) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Errorf("%s: %v", name, err)
	case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
		t.Errorf("%s: %v, not %q", name, err, want)
	}
}

// AtMostOnce, NotRunBeforeReport and NotStarted must detect calls that ran twice or ran
// although they were reported as not run.
func TestCalls(t *testing.T) {
	one := application.Record{Organisation: "o", Key: "k", Server: "a", At: 100}
	two := application.Record{Organisation: "o", Key: "k", Server: "b", At: 200}
	foreign := application.Record{Organisation: "p", Key: "k", Server: "b", At: 200}
	checkError(t, "once", check.AtMostOnce([]application.Record{one, foreign}), "")
	checkError(t, "twice", check.AtMostOnce([]application.Record{one, foreign, two}), "ran on a and on b")
	reported := func(ran fault.Ran, at int64) []check.ReportedOutcome {
		return []check.ReportedOutcome{{Organisation: "o", Key: "k", Ran: ran, ReportedAt: at}}
	}
	checkError(t, "not run", check.NotRunBeforeReport(reported(fault.NotRun, 50), []application.Record{one}), "")
	checkError(t, "unknown", check.NotRunBeforeReport(reported(fault.RanUnknown, 150), []application.Record{one}), "")
	checkError(t, "ran before", check.NotRunBeforeReport(reported(fault.NotRun, 150), []application.Record{one}), "reported as not_run")
	checkError(t, "run of another organisation", check.NotRunBeforeReport(reported(fault.NotRun, 250), []application.Record{foreign}), "")
	checkError(t, "no generation", check.NotStarted("none", log), "")
	checkError(t, "generation", check.NotStarted("other", log), "reported as not_run")
}

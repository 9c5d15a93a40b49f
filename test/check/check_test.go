package check_test

import (
	"strings"
	"testing"

	"cicadabeam/core/fault"
	"cicadabeam/test/check"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
)

// log is of one request whose first engine died after two tokens, and of another.
var log = []engine.Record{
	{Event: "start", Generation: "aa", Marker: "m"},
	{Event: "start", Generation: "bb", Marker: "m", From: 2, Prefix: " t0.aa t1.aa"},
	{Event: "start", Generation: "cc", Marker: "m"},
	{Event: "start", Generation: "dd", Marker: "other"},
}

func TestAnswer(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"whole":                 {" t0.aa t1.aa t2.bb t3.bb", ""},
		"one generation":        {" t0.cc t1.cc t2.cc t3.cc", ""},
		"token missing":         {" t0.aa t1.aa t3.bb t4.bb", "token 3 stands at position 2"},
		"token repeated":        {" t0.aa t1.aa t1.aa t2.bb", "token 1 stands at position 2"},
		"end missing":           {" t0.aa t1.aa t2.bb", "3 tokens, not 4"},
		"too long":              {" t0.cc t1.cc t2.cc t3.cc t4.cc", "5 tokens, not 4"},
		"cut token":             {" t0.aa t1.aa t2.bb t3", "no whole token"},
		"generations mixed":     {" t0.aa t1.cc t2.cc t3.cc", "was given 0 bytes"},
		"resumed from other":    {" t0.aa t1.cc t2.bb t3.bb", "was given"},
		"another's answer":      {" t0.dd t1.dd t2.dd t3.dd", "is of request other"},
		"generation of nobody":  {" t0.ee t1.ee t2.ee t3.ee", "no engine logged"},
		"back to the first one": {" t0.aa t1.aa t2.bb t3.aa", "was given"},
	}
	for name, x := range cases {
		judge(t, name, check.Answer(x.text, 4, "m", log), x.want)
	}
}

func judge(t *testing.T, name string, err error, want string) {
	t.Helper()
	switch {
	case want == "" && err != nil:
		t.Errorf("%s: %v", name, err)
	case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
		t.Errorf("%s: %v, not %q", name, err, want)
	}
}

func TestCalls(t *testing.T) {
	one := application.Record{Organisation: "o", Key: "k", Server: "a", At: 100}
	two := application.Record{Organisation: "o", Key: "k", Server: "b", At: 200}
	foreign := application.Record{Organisation: "p", Key: "k", Server: "b", At: 200}
	judge(t, "once", check.AtMostOnce([]application.Record{one, foreign}), "")
	judge(t, "twice", check.AtMostOnce([]application.Record{one, foreign, two}), "ran on a and on b")
	told := func(ran fault.Ran, at int64) []check.Told {
		return []check.Told{{Organisation: "o", Key: "k", Ran: ran, At: at}}
	}
	judge(t, "not run", check.NotRun(told(fault.NotRun, 50), []application.Record{one}), "")
	judge(t, "unknown", check.NotRun(told(fault.RanUnknown, 150), []application.Record{one}), "")
	judge(t, "ran before", check.NotRun(told(fault.NotRun, 150), []application.Record{one}), "told not_run")
	judge(t, "another's run", check.NotRun(told(fault.NotRun, 250), []application.Record{foreign}), "")
	judge(t, "no generation", check.NoGeneration("none", log), "")
	judge(t, "generation", check.NoGeneration("other", log), "told not_run")
}

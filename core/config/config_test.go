package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabeam/core/config"
)

// TestQuestionnaire runs the commands in testdata: parse prints the problems of a
// questionnaire or a summary of it; diff compares two questionnaires that are separated
// by a line "++++".
func TestQuestionnaire(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				return parse(d.Input)
			case "diff":
				return diff(d.Input)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func parse(input string) string {
	c, err := config.Parse("q.ini", []byte(input))
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, s := range c.Services() {
		fmt.Fprintf(&b, "service %s: model %q, idempotent %v, recovery %s, %d servers\n", s.Name(), s.Model(), s.Idempotent(), s.Recovery(), len(c.Servers(s.Name())))
	}
	for _, o := range c.Organisations() {
		fmt.Fprintf(&b, "organisation %s: weight %d, max-running %d\n", o.Name(), o.Weight(), o.MaxRunning())
	}
	return b.String()
}

func diff(input string) string {
	old, new, _ := strings.Cut(input, "++++\n")
	var b strings.Builder
	for _, c := range config.Diff([]byte(old), []byte(new)) {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

// FuzzParse checks that Parse accepts the text of a configuration that it has returned,
// and that Diff finds no changes between the two.
func FuzzParse(f *testing.F) {
	f.Add("[region a]\n[data-centre b]\nregion = a\n[service s]\nmodel = m\n")
	f.Add("[server x]\naddress = http://1.2.3.4:5\nslots = 0\n")
	f.Add("[\n=\n[]\n[a b\n")
	f.Add("[organisation o]\nkey-sha256 = " + config.HashKey("k"))
	f.Fuzz(func(t *testing.T, text string) {
		c, err := config.Parse("q.ini", []byte(text))
		if err != nil {
			return
		}
		second, err := config.Parse("q.ini", c.Text())
		if err != nil {
			t.Fatalf("an accepted questionnaire was rejected when parsed again: %v", err)
		}
		if len(config.Diff(c.Text(), second.Text())) != 0 {
			t.Fatal("Diff reports changes between equal questionnaires")
		}
	})
}

// Package check judges what callers got against what the back ends logged: the
// promises that the system makes.
//
// # Usage
//
//	err := check.Answer(text, 200, engineLog)
//	err = check.AtMostOnce(runs)
//	err = check.NotRun(calls, runs)
package check

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"cicadabeam/core/fault"
	"cicadabeam/test/standin/application"
	"cicadabeam/test/standin/engine"
)

var tokenForm = regexp.MustCompile(`^t(\d+)\.([0-9a-f]+)$`)

type token struct {
	position   int
	generation string
}

func parse(text string) ([]token, error) {
	var all []token
	for _, word := range strings.Fields(text) {
		m := tokenForm.FindStringSubmatch(word)
		if m == nil {
			return nil, fmt.Errorf("%q is no whole token", word)
		}
		n, err := strconv.Atoi(m[1])
		if err != nil {
			return nil, err
		}
		all = append(all, token{position: n, generation: m[2]})
	}
	return all, nil
}

// Answer checks that a text has the tokens 0 to length-1, each once and in order,
// and that each change of generation is one at which an engine was given exactly
// the text before it, for the request with the marker.
func Answer(text string, length int, marker string, log []engine.Record) error {
	all, err := parse(text)
	if err != nil {
		return err
	}
	if len(all) != length {
		return fmt.Errorf("the answer has %d tokens, not %d", len(all), length)
	}
	return Prefix(text, marker, log)
}

// Prefix checks the beginning of an answer like Answer, at whatever length.
func Prefix(text, marker string, log []engine.Record) error {
	all, err := parse(text)
	if err != nil {
		return err
	}
	starts := startsOf(log)
	so := ""
	for i, t := range all {
		if t.position != i {
			return fmt.Errorf("token %d stands at position %d", t.position, i)
		}
		if i == 0 || all[i-1].generation != t.generation {
			if err := checkStart(starts, t.generation, so, marker); err != nil {
				return err
			}
		}
		so += " t" + strconv.Itoa(t.position) + "." + t.generation
	}
	return nil
}

func startsOf(log []engine.Record) map[string]engine.Record {
	starts := make(map[string]engine.Record)
	for _, r := range log {
		if r.Event == "start" {
			starts[r.Generation] = r
		}
	}
	return starts
}

func checkStart(starts map[string]engine.Record, generation, so, marker string) error {
	r, found := starts[generation]
	if !found {
		return fmt.Errorf("no engine logged generation %s", generation)
	}
	if r.Prefix != so {
		return fmt.Errorf("generation %s was given %d bytes of text other than the %d bytes before it", generation, len(r.Prefix), len(so))
	}
	if r.Marker != marker {
		return fmt.Errorf("generation %s is of request %s, not %s", generation, r.Marker, marker)
	}
	return nil
}

// AtMostOnce checks that no call ran twice.
func AtMostOnce(runs []application.Record) error {
	seen := make(map[string]string)
	for _, r := range runs {
		id := r.Organisation + "/" + r.Key
		if other, found := seen[id]; found {
			return fmt.Errorf("%s ran on %s and on %s", id, other, r.Server)
		}
		seen[id] = r.Server
	}
	return nil
}

// Told is what a caller was told about a call.
type Told struct {
	Organisation string
	Key          string
	Ran          fault.Ran // "" when the call was answered
	At           int64     // Unix time in milliseconds
}

// NotRun checks that no call had run by the time its caller was told that it had
// not.
func NotRun(told []Told, runs []application.Record) error {
	for _, t := range told {
		if t.Ran != fault.NotRun {
			continue
		}
		for _, r := range runs {
			if r.Organisation == t.Organisation && r.Key == t.Key && r.At <= t.At {
				return fmt.Errorf("%s/%s was told not_run and ran on %s before", t.Organisation, t.Key, r.Server)
			}
		}
	}
	return nil
}

// NoGeneration checks that no engine began a request whose caller was told that
// it was not run.
func NoGeneration(marker string, log []engine.Record) error {
	for _, r := range log {
		if r.Marker == marker {
			return fmt.Errorf("request %s was told not_run and ran on %s", marker, r.Server)
		}
	}
	return nil
}

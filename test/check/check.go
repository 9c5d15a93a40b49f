// Package check verifies the guarantees of the system: it compares what callers
// received with what the backend servers logged.
//
// # Usage
//
//	err := check.CompleteAnswer(text, 200, marker, engineLog)
//	err = check.AtMostOnce(runs)
//	err = check.NotRunBeforeReport(calls, runs)
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

// tokenPattern matches a token of the stand-in engine: its position and its generation.
var tokenPattern = regexp.MustCompile(`^t(\d+)\.([0-9a-f]+)$`)

type token struct {
	position   int
	generation string
}

// parseTokens splits a text into its tokens.
func parseTokens(text string) ([]token, error) {
	var tokens []token
	for _, word := range strings.Fields(text) {
		m := tokenPattern.FindStringSubmatch(word)
		if m == nil {
			return nil, fmt.Errorf("%q is not a complete token", word)
		}
		n, err := strconv.Atoi(m[1])
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, token{position: n, generation: m[2]})
	}
	return tokens, nil
}

// CompleteAnswer checks that a text consists of the tokens 0 to length-1, each once and in
// order. At each change of generation, an engine must have started the new one for the
// request with the marker, from exactly the text before the change.
func CompleteAnswer(text string, length int, marker string, log []engine.Record) error {
	tokens, err := parseTokens(text)
	if err != nil {
		return err
	}
	if len(tokens) != length {
		return fmt.Errorf("answer has %d tokens, not %d", len(tokens), length)
	}
	return PartialAnswer(text, marker, log)
}

// PartialAnswer checks a text like CompleteAnswer does, but accepts any number of tokens,
// as the rest of the answer may be missing.
func PartialAnswer(text, marker string, log []engine.Record) error {
	tokens, err := parseTokens(text)
	if err != nil {
		return err
	}
	starts := startsByGeneration(log)
	preceding := ""
	for i, t := range tokens {
		if t.position != i {
			return fmt.Errorf("token %d found at position %d", t.position, i)
		}
		if i == 0 || tokens[i-1].generation != t.generation {
			if err := checkStart(starts, t.generation, preceding, marker); err != nil {
				return err
			}
		}
		preceding += " t" + strconv.Itoa(t.position) + "." + t.generation
	}
	return nil
}

// startsByGeneration returns the log entries that report the start of a generation.
func startsByGeneration(log []engine.Record) map[string]engine.Record {
	starts := make(map[string]engine.Record)
	for _, r := range log {
		if r.Event == "start" {
			starts[r.Generation] = r
		}
	}
	return starts
}

// checkStart checks that a generation was started for the request with the marker, from
// the text that precedes it in the answer.
func checkStart(starts map[string]engine.Record, generation, preceding, marker string) error {
	r, found := starts[generation]
	if !found {
		return fmt.Errorf("no engine logged generation %s", generation)
	}
	if r.Prefix != preceding {
		return fmt.Errorf("generation %s was started from %d bytes of text that differ from the %d bytes before it", generation, len(r.Prefix), len(preceding))
	}
	if r.Marker != marker {
		return fmt.Errorf("generation %s belongs to request %s, not %s", generation, r.Marker, marker)
	}
	return nil
}

// AtMostOnce checks that no call ran more than once.
func AtMostOnce(runs []application.Record) error {
	seen := make(map[string]string)
	for _, r := range runs {
		id := r.Organisation + "/" + r.Key
		if server, found := seen[id]; found {
			return fmt.Errorf("%s ran on %s and on %s", id, server, r.Server)
		}
		seen[id] = r.Server
	}
	return nil
}

// ReportedOutcome is the outcome of a call as it was reported to the caller.
type ReportedOutcome struct {
	Organisation string
	Key          string
	Ran          fault.Ran // "" when the call was answered
	ReportedAt   int64     // when it was reported; Unix time in milliseconds
}

// NotRunBeforeReport checks that no call had run by the time it was reported to its
// caller as not run.
func NotRunBeforeReport(calls []ReportedOutcome, runs []application.Record) error {
	for _, c := range calls {
		if c.Ran != fault.NotRun {
			continue
		}
		for _, r := range runs {
			if r.Organisation == c.Organisation && r.Key == c.Key && r.At <= c.ReportedAt {
				return fmt.Errorf("call %s/%s was reported as not_run, but had run on %s", c.Organisation, c.Key, r.Server)
			}
		}
	}
	return nil
}

// NotStarted checks that no engine started the request with the marker, which was
// reported to its caller as not run.
func NotStarted(marker string, log []engine.Record) error {
	for _, r := range log {
		if r.Marker == marker {
			return fmt.Errorf("request %s was reported as not_run, but ran on %s", marker, r.Server)
		}
	}
	return nil
}

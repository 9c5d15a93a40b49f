// Package explain finds out from the logs of entry hosts what became of a request.
//
// # Usage
//
//	e := explain.New("9c41d07be2a35f68")
//	err := e.Read(file)       // for each node's log
//	e.Write(os.Stdout)        // its lines in order, and what happened in words
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

const (
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
	// beliefWithin is how long before a request's end a belief may have decided it.
	beliefWithin = 10 * time.Second
)

// line is one line of a log.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

func (l line) is(event string) bool { return l.fields["message"] == event }

// Story collects the lines about one request.
type Story struct {
	id      string
	lines   []line
	beliefs []line // about servers, nodes, configuration and store
	skipped int
}

// New returns a story of the request with an id.
func New(id string) *Story { return &Story{id: id} }

// Read takes a log. Lines that are none of an entry host's are skipped.
func (s *Story) Read(r io.Reader) error {
	b := bufio.NewScanner(r)
	b.Buffer(nil, maxLine)
	for b.Scan() {
		s.take(b.Text())
	}
	return errors.Wrap(b.Err(), "read a log")
}

func (s *Story) take(text string) {
	// What stands before the line, such as a collector's own time, is left out.
	if i := strings.Index(text, "timestamp="); i > 0 {
		text = text[i:]
	}
	l := line{text: text, fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["timestamp"])
	if d.Err() != nil || err != nil {
		s.skipped++
		return
	}
	l.at = at
	switch {
	case l.fields["request"] == s.id:
		s.lines = append(s.lines, l)
	case l.fields["request"] == "":
		s.beliefs = append(s.beliefs, l)
	}
}

// Found tells whether any line is about the request.
func (s *Story) Found() bool { return len(s.lines) > 0 }

// Write writes the request's lines by their time, what happened in words, and the
// beliefs that the node came to shortly before, about the servers that it tried,
// the store and the configuration.
func (s *Story) Write(w io.Writer) error {
	sort.SliceStable(s.lines, func(a, b int) bool { return s.lines[a].at.Before(s.lines[b].at) })
	sort.SliceStable(s.beliefs, func(a, b int) bool { return s.beliefs[a].at.Before(s.beliefs[b].at) })
	var b strings.Builder
	for _, l := range s.lines {
		b.WriteString(l.text + "\n")
	}
	b.WriteString("\n" + s.Sentence() + "\n")
	if relevant := s.relevant(); len(relevant) > 0 {
		b.WriteString("\nWhat the node believed:\n")
		for _, l := range relevant {
			b.WriteString(l.text + "\n")
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// relevant returns the beliefs that may have decided the request.
func (s *Story) relevant() []line {
	if len(s.lines) == 0 {
		return nil
	}
	node := s.lines[0].fields["node"]
	end := s.lines[len(s.lines)-1].at
	servers := make(map[string]bool)
	for _, l := range s.lines {
		servers[l.fields["server"]] = true
	}
	var all []line
	for _, l := range s.beliefs {
		general := l.is("store lost") || l.is("store regained") || l.is("configuration") && l.fields["newer"] == "true" || l.is("history lost") || l.is("draining") || l.is("started")
		about := l.fields["server"] != "" && servers[l.fields["server"]]
		if l.fields["node"] == node && (general || about) && !l.at.After(end) && end.Sub(l.at) <= beliefWithin {
			all = append(all, l)
		}
	}
	return all
}

// Sentence says what became of the request.
func (s *Story) Sentence() string {
	if len(s.lines) == 0 {
		return fmt.Sprintf("No line is about request %s.", s.id)
	}
	last := s.lines[len(s.lines)-1]
	for _, l := range s.lines {
		if l.is("answered") || l.is("refused") || l.is("broken off") || l.is("caller left") {
			last = l
		}
	}
	return s.path() + s.ending(last)
}

// path tells of the servers that the request was sent to.
func (s *Story) path() string {
	var b strings.Builder
	for _, l := range s.lines {
		switch {
		case (l.is("attempt") || l.is("leg")) && l.fields["outcome"] != "answered":
			fmt.Fprintf(&b, "Server %s: %s", l.fields["server"], outcomes[l.fields["outcome"]])
			if l.fields["error"] != "" {
				fmt.Fprintf(&b, " (%s)", l.fields["error"])
			}
			fmt.Fprintf(&b, " after %s ms. ", l.fields["ms"])
		case l.is("resumed"):
			how := "by reading the prompt again"
			if l.fields["from_copy"] == "true" {
				how = "from the copy of its memory"
			}
			fmt.Fprintf(&b, "It went on at server %s after event %s, %s, %s ms after the loss. ", l.fields["server"], l.fields["after"], how, l.fields["ms"])
		case l.is("repeat denied"):
			b.WriteString("A further server was not tried, as the bound on repeats was reached. ")
		}
	}
	return b.String()
}

var outcomes = map[string]string{
	"not-offered": "nothing was sent there",
	"refused":     "it said that it did not run the request",
	"moved":       "another server has its address, the request did not run",
	"broken":      "the request may have run there, and no whole answer came",
}

func (s *Story) ending(l line) string {
	f := l.fields
	switch {
	case l.is("answered"):
		return fmt.Sprintf("The caller got the answer of server %s with status %s after %s ms.", f["server"], f["status"], f["ms"])
	case l.is("broken off"):
		return fmt.Sprintf("The caller had the answer up to event %s when its connection was cut after %s ms: %s.", f["last"], f["ms"], f["reason"])
	case l.is("caller left"):
		return fmt.Sprintf("The caller left after %s ms.", f["ms"])
	case l.is("refused"):
		ran := "it may have run"
		if f["ran"] == "not_run" {
			ran = "it did not run and never will"
		}
		return fmt.Sprintf("The node answered %s itself (%s, step %s) after %s ms, %s: %s.", f["status"], f["code"], f["step"], f["ms"], ran, f["reason"])
	default:
		return "How it ended is not in the logs."
	}
}

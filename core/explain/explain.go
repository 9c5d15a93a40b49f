// Package explain reconstructs the course of a request from the logs of entry hosts.
//
// # Usage
//
//	r := explain.New("9c41d07be2a35f68")
//	err := r.AddLog(file)     // for each node's log
//	r.Write(os.Stdout)        // its log lines in order and a summary
package explain

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

const (
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// maxEventAge is how long before the end of a request an event may have occurred
	// that could have affected it.
	maxEventAge = 10 * time.Second
	// droppedReportDelay is how long after lines were dropped a node may log how many.
	droppedReportDelay = 2 * time.Second
)

// line is a parsed log line.
type line struct {
	at     time.Time
	text   string
	fields map[string]string
}

func (l line) is(event string) bool { return l.fields["message"] == event }

// ofServer reports whether a line is about a server although it names the request in whose
// response the server said it.
func (l line) ofServer() bool { return l.is("server deferred") || l.is("server leaving") }

// Report collects the log lines of one request.
type Report struct {
	id        string
	lines     []line
	events    []line // lines without a request: about servers, nodes, configuration and store
	skipped   int    // lines that could not be parsed
	truncated int    // compressed logs without their end
}

// New returns an empty report for the request with the given ID.
func New(id string) *Report { return &Report{id: id} }

// AddLog adds the lines of a log, which may be compressed with gzip. Lines that do not come
// from an entry host are skipped and counted.
func (r *Report) AddLog(f io.Reader) error {
	b := bufio.NewReaderSize(f, maxLine)
	if magic, err := b.Peek(len(gzipMagic)); err == nil && string(magic) == gzipMagic {
		z, err := gzip.NewReader(b)
		if err != nil {
			return errors.Wrap(err, "read the log")
		}
		b = bufio.NewReaderSize(z, maxLine)
	}
	for {
		text, err := b.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = b.ReadSlice('\n')
		}
		switch {
		case tooLong:
			r.skipped++
		case len(text) > 0:
			r.addLine(bytes.TrimRight(text, "\r\n"))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			r.truncated++
			return nil
		case err != nil:
			return errors.Wrap(err, "read the log")
		}
	}
}

// gzipMagic begins a file that is compressed with gzip.
const gzipMagic = "\x1f\x8b"

var (
	timestampKey = []byte("timestamp=")
	requestKey   = []byte(" request=")
	serverEvents = [][]byte{[]byte(`message="server deferred"`), []byte(`message="server leaving"`)}
)

func (r *Report) addLine(text []byte) {
	i := bytes.Index(text, timestampKey)
	if i < 0 {
		r.skipped++
		return
	}
	text = text[i:] // without a prefix, such as the timestamp of a log collector
	if r.isOfOtherRequest(text) {
		return
	}
	l := line{text: string(text), fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["timestamp"])
	if d.Err() != nil || err != nil {
		r.skipped++
		return
	}
	l.at = at
	switch {
	case l.fields["request"] == r.id:
		r.lines = append(r.lines, l)
	case l.fields["request"] == "" || l.ofServer():
		r.events = append(r.events, l)
	}
}

// isOfOtherRequest reports whether a line names a request and not this one. Most lines do, and
// are not parsed.
func (r *Report) isOfOtherRequest(text []byte) bool {
	_, value, found := bytes.Cut(text, requestKey)
	if !found || len(value) == 0 || value[0] == ' ' || bytes.Contains(text, []byte(r.id)) {
		return false
	}
	for _, e := range serverEvents {
		if bytes.Contains(text, e) {
			return false
		}
	}
	return true
}

// Found reports whether any log line belongs to the request.
func (r *Report) Found() bool { return len(r.lines) > 0 }

// Write writes the request's log lines in the order of their times, a summary, and the
// events that the node logged shortly before the end of the request about the servers
// that it tried, the store, the configuration and the node itself.
func (r *Report) Write(w io.Writer) error {
	sort.SliceStable(r.lines, func(a, b int) bool { return r.lines[a].at.Before(r.lines[b].at) })
	sort.SliceStable(r.events, func(a, b int) bool { return r.events[a].at.Before(r.events[b].at) })
	var b strings.Builder
	for _, l := range r.lines {
		b.WriteString(l.text + "\n")
	}
	b.WriteString("\n" + r.Summary() + "\n")
	for _, gap := range r.Gaps() {
		b.WriteString(gap + "\n")
	}
	if relatedEvents := r.relatedEvents(); len(relatedEvents) > 0 {
		b.WriteString("\nRelated events logged by the node:\n")
		for _, l := range relatedEvents {
			b.WriteString(l.text + "\n")
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Gaps describes what is missing from the logs, so that lines of the request may be missing too.
func (r *Report) Gaps() []string {
	var all []string
	if r.skipped > 0 {
		all = append(all, fmt.Sprintf("Lines of the logs that could not be read and were skipped: %d.", r.skipped))
	}
	if r.truncated > 0 {
		all = append(all, fmt.Sprintf("Compressed logs that end early: %d.", r.truncated))
	}
	dropped := make(map[string]int)
	var nodes []string
	for _, l := range r.events {
		if !l.is("lines dropped") || !r.near(l) {
			continue
		}
		n, _ := strconv.Atoi(l.fields["count"])
		if dropped[l.fields["node"]] == 0 {
			nodes = append(nodes, l.fields["node"])
		}
		dropped[l.fields["node"]] += n
	}
	for _, node := range nodes {
		all = append(all, fmt.Sprintf("Lines that %s did not log around that time: %d. Lines of the request may be among them.", node, dropped[node]))
	}
	return all
}

// near reports whether an event may concern the lines of the request: if there are none, any
// event may.
func (r *Report) near(l line) bool {
	if len(r.lines) == 0 {
		return true
	}
	begin, end := r.lines[0].at, r.lines[0].at
	for _, x := range r.lines {
		if x.at.Before(begin) {
			begin = x.at
		}
		if x.at.After(end) {
			end = x.at
		}
	}
	return !l.at.Before(begin.Add(-maxEventAge)) && !l.at.After(end.Add(droppedReportDelay))
}

// relatedEvents returns the events that may have affected the request.
func (r *Report) relatedEvents() []line {
	if len(r.lines) == 0 {
		return nil
	}
	node := r.lines[0].fields["node"]
	end := r.lines[len(r.lines)-1].at
	servers, services := make(map[string]bool), make(map[string]bool)
	for _, l := range r.lines {
		servers[l.fields["server"]] = true
		services[l.fields["service"]] = true
	}
	var all []line
	for _, l := range r.events {
		global := l.is("store lost") || l.is("store regained") || l.is("configuration") && l.fields["newer"] == "true" || l.is("history lost") || l.is("draining") || l.is("started")
		onServer := l.fields["server"] != "" && servers[l.fields["server"]]
		ofService := l.ofServer() && l.fields["service"] != "" && services[l.fields["service"]]
		if l.fields["node"] == node && (global || onServer || ofService) && !l.at.After(end) && end.Sub(l.at) <= l.effect() {
			all = append(all, l)
		}
	}
	return all
}

// effect returns for how long an event may affect requests.
func (l line) effect() time.Duration {
	wait, err := strconv.ParseInt(l.fields["wait_ms"], 10, 64)
	if err != nil {
		return maxEventAge
	}
	return max(maxEventAge, time.Duration(wait)*time.Millisecond)
}

// Summary returns a summary of the attempts and the outcome of the request.
func (r *Report) Summary() string {
	if len(r.lines) == 0 {
		return fmt.Sprintf("No log line belongs to request %s.", r.id)
	}
	last := r.lines[len(r.lines)-1]
	for _, l := range r.lines {
		if l.is("answered") || l.is("refused") || l.is("broken off") || l.is("caller left") || l.is("response not sent") {
			last = l
		}
	}
	return r.attempts() + r.result(last)
}

// attempts describes the attempts that failed and the recovery from them.
func (r *Report) attempts() string {
	var b strings.Builder
	for _, l := range r.lines {
		switch {
		case (l.is("attempt") || l.is("leg")) && l.fields["outcome"] != "answered":
			fmt.Fprintf(&b, "Server %s: %s", l.fields["server"], outcomes[l.fields["outcome"]])
			if l.fields["error"] != "" {
				fmt.Fprintf(&b, " (%s)", l.fields["error"])
			}
			fmt.Fprintf(&b, " after %s ms. ", l.fields["ms"])
		case l.is("resumed"):
			method := "by processing the prompt again"
			if l.fields["from_copy"] == "true" {
				method = "from the copy of the KV cache"
			}
			fmt.Fprintf(&b, "Server %s resumed the response after event %s, %s, %s ms after the failure. ", l.fields["server"], l.fields["after"], method, l.fields["ms"])
		case l.is("repeat denied"):
			b.WriteString("No further server was tried because the retry budget was spent. ")
		}
	}
	return b.String()
}

// outcomes describes the outcomes of an attempt.
var outcomes = map[string]string{
	"not-offered": "the request was not sent",
	"refused":     "the server reported that it did not run the request",
	"moved":       "another server now has its address; the request did not run",
	"broken":      "the request may have run, but its response is incomplete",
}

// result describes how the request ended; l is its last relevant line.
func (r *Report) result(l line) string {
	f := l.fields
	switch {
	case l.is("answered"):
		return fmt.Sprintf("The caller received the response of server %s with status %s after %s ms.", f["server"], f["status"], f["ms"])
	case l.is("broken off"):
		return fmt.Sprintf("The caller had received the response up to event %s when its connection was closed after %s ms: %s.", f["last"], f["ms"], f["reason"])
	case l.is("response not sent"):
		return fmt.Sprintf("The response could not be sent to the caller after %s ms: %s.", f["ms"], f["error"])
	case l.is("caller left"):
		return fmt.Sprintf("The caller disconnected after %s ms.", f["ms"])
	case l.is("refused"):
		ran := "the request may have run on a server"
		if f["ran"] == "not_run" {
			ran = "the request did not run and will not run"
		}
		back := ""
		if f["retry_after_ms"] != "" {
			back = fmt.Sprintf(" The caller was told to come back after %s ms.", f["retry_after_ms"])
		}
		return fmt.Sprintf("The node itself responded with status %s (%s, step %s) after %s ms; %s: %s.%s", f["status"], f["code"], f["step"], f["ms"], ran, f["reason"], back)
	default:
		return "The logs don't show how the request ended."
	}
}

package explain_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabeam/core/explain"
)

// TestExplain explains requests from the recorded logs in testdata. The argument of the
// command is the request's ID.
func TestExplain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id string
			d.ScanArgs(t, "request", &id)
			r := explain.New(id)
			if err := r.AddLog(strings.NewReader(d.Input)); err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			if err := r.Write(&b); err != nil {
				t.Fatal(err)
			}
			return b.String()
		})
	})
}

const answered = "timestamp=2026-09-03T05:59:31.4Z level=info message=answered ms=3 node=%s request=%s server=s1 status=200\n"

func explainLog(t *testing.T, id string, log []byte) (*explain.Report, string) {
	t.Helper()
	r := explain.New(id)
	if err := r.AddLog(bytes.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	return r, b.String()
}

func compress(t *testing.T, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Compressed logs are read like others, also one that is still being written.
func TestCompressedLog(t *testing.T) {
	var text strings.Builder
	fmt.Fprintf(&text, answered, "n1", "id-1")
	for i := range 20000 {
		fmt.Fprintf(&text, answered, "n1", fmt.Sprint("other-", i*i))
	}
	whole := compress(t, text.String())
	if r, story := explainLog(t, "id-1", whole); !r.Found() || len(r.Gaps()) != 0 {
		t.Errorf("got %q", story)
	}
	if _, story := explainLog(t, "id-1", whole[:len(whole)-len(whole)/4]); !strings.Contains(story, "response of server s1") || !strings.Contains(story, "Compressed logs that end early: 1.") {
		t.Errorf("got %q", story)
	}
}

// Guards against a story that does not say that lines are missing.
func TestMissingLinesAreTold(t *testing.T) {
	const dropped = "timestamp=2026-09-03T05:%s level=warn message=\"lines dropped\" count=%d event=attempt node=%s\n"
	log := fmt.Sprintf(answered, "n1", "id-1") + "no line of a log\n" + "timestamp=yesterday message=answered request=id-1\n" + strings.Repeat("x", 3<<20) + "\n" +
		fmt.Sprintf(dropped, "59:31Z", 40, "n1") + fmt.Sprintf(dropped, "59:32Z", 2, "n1") + fmt.Sprintf(dropped, "58:00Z", 7, "n1") + fmt.Sprintf(dropped, "59:31Z", 9, "n2")
	_, story := explainLog(t, "id-1", []byte(log))
	for _, want := range []string{"skipped: 3.", "n1 did not log around that time: 42.", "n2 did not log around that time: 9."} {
		if !strings.Contains(story, want) {
			t.Errorf("the story lacks %q: %s", want, story)
		}
	}
	r, _ := explainLog(t, "id-2", []byte(log))
	if gaps := strings.Join(r.Gaps(), " "); r.Found() || !strings.Contains(gaps, "n1 did not log around that time: 49.") {
		t.Errorf("a request without lines: got %q", gaps)
	}
}

// BenchmarkMillionLines reads the logs of many nodes for one request.
func BenchmarkMillionLines(b *testing.B) {
	var text bytes.Buffer
	for i := range 1_000_000 {
		if i%20 == 0 {
			fmt.Fprintf(&text, "timestamp=2026-09-03T05:59:31.4Z level=info message=server address=10.1.64.20:8149 from=store leaving=false node=n%d server=i-%d service=orders version=26\n", i%300, i%3000)
			continue
		}
		fmt.Fprintf(&text, answered, fmt.Sprint("n", i%300), fmt.Sprint("id-", i))
	}
	for b.Loop() {
		r := explain.New("id-777777")
		if err := r.AddLog(bytes.NewReader(text.Bytes())); err != nil || !r.Found() {
			b.Fatal(err)
		}
	}
}

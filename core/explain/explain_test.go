package explain_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cicadabeam/core/explain"
)

// TestExplain explains requests from the recorded logs in testdata. The argument of the
// command is the request's id.
func TestExplain(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id string
			d.ScanArgs(t, "request", &id)
			s := explain.New(id)
			if err := s.AddLog(strings.NewReader(d.Input)); err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			if err := s.Write(&b); err != nil {
				t.Fatal(err)
			}
			return b.String()
		})
	})
}

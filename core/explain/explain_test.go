package explain_test

import (
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

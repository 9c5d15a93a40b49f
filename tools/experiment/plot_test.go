package main

import (
	"strings"
	"testing"

	"cicadabeam/test/model"
)

// The bars are scaled to the largest row, and times beyond the last range count as later.
func TestPlot(t *testing.T) {
	h := model.NewHistogram()
	for _, ms := range []int64{10, 300, 300, 300, 59_000} {
		if err := h.RecordValue(ms); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	plot(&b, "all", h)
	for _, want := range []string{"all, 5 requests", "0 ms  20.0% " + strings.Repeat("#", 20) + "\n", "250 ms  60.0% " + strings.Repeat("#", 60), "later  20.0%"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, b.String())
		}
	}
}

package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// A plot has a line for each rowMS up to the goal of the loads, and one for the rest.
	rowMS    = 250
	rowsMost = 18
	barMost  = 60 // characters
)

// plot draws the share of requests whose first token took so long.
func plot(w io.Writer, policy string, h *hdrhistogram.Histogram) {
	rows := make([]int64, rowsMost+1)
	for _, b := range h.Distribution() {
		rows[min(b.From/rowMS, rowsMost)] += b.Count
	}
	most := int64(1)
	for _, n := range rows {
		most = max(most, n)
	}
	fmt.Fprintf(w, "\nfirst token, %s, %d requests\n", policy, h.TotalCount())
	for i, n := range rows {
		label := fmt.Sprintf("%d ms", i*rowMS)
		if i == rowsMost {
			label = "later"
		}
		share := 100 * float64(n) / float64(max(h.TotalCount(), 1))
		fmt.Fprintf(w, "%9s %5.1f%% %s\n", label, share, strings.Repeat("#", int(barMost*n/most)))
	}
}

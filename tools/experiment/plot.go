package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// rowMS is the range of times that a row covers. The rows reach to the goal of the
	// scenarios, 4.5 s; row overflowRow counts all later requests.
	rowMS       = 250
	overflowRow = 18
	maxBar      = 60 // characters
)

// plot draws a histogram of the times to the first token, in shares of the requests.
func plot(w io.Writer, policy string, h *hdrhistogram.Histogram) {
	rows := make([]int64, overflowRow+1)
	for _, b := range h.Distribution() {
		rows[min(b.From/rowMS, overflowRow)] += b.Count
	}
	largest := int64(1)
	for _, n := range rows {
		largest = max(largest, n)
	}
	fmt.Fprintf(w, "\nfirst token, %s, %d requests\n", policy, h.TotalCount())
	for i, n := range rows {
		label := fmt.Sprintf("%d ms", i*rowMS)
		if i == overflowRow {
			label = "later"
		}
		share := 100 * float64(n) / float64(max(h.TotalCount(), 1))
		fmt.Fprintf(w, "%9s %5.1f%% %s\n", label, share, strings.Repeat("#", int(maxBar*n/largest)))
	}
}

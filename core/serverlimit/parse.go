package serverlimit

import (
	"math"
	"strconv"
	"strings"
)

// maxLimit is the limit from which a server has none, in requests a second.
const maxLimit = 1e6

// Parse reads a limit in requests a second, as a server writes it. Of several, separated by
// commas, the lowest one holds. valid is false if one is negative or no number.
func Parse(text string) (limit float64, valid bool) {
	for part := range strings.SplitSeq(text, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil && !math.IsInf(x, 1) || math.IsNaN(x) || x < 0 {
			return 0, false
		}
		if !valid || x < limit {
			limit, valid = x, true
		}
	}
	return limit, valid
}

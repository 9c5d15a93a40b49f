package admission

import "time"

const (
	// lowestClass is the class of a run that is no longer expected to meet its goal. Engines admit
	// classes 0 to 9, the lowest number first.
	lowestClass = 9
	// ranks is the number of ranks that are told apart. Further ones share the last class.
	ranks = 4
)

// slackSteps divides the slack into steps, with one class each. They are about the times in which an
// engine processes one, two and four prompts of 8,000 tokens.
var slackSteps = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// Class returns the class that an attempt of a request is sent with at a time. It rises with the
// slack, which is the time until the latency goal less that of processing the prompt, and with the
// rank. An attempt after one that an engine worked on comes before all first ones of
// its rank.
func (r Request) Class(repeated bool, prefill time.Duration, now time.Time) int {
	rank := min(max(r.Rank, 0), ranks)
	if repeated {
		return rank
	}
	step := 0
	for _, s := range slackSteps {
		if r.Goal.Sub(now)-prefill >= s {
			step++
		}
	}
	return 1 + rank + step
}

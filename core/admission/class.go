package admission

import "time"

const (
	// lowestClass is the class of a run that is no longer expected to meet its goal. Engines admit
	// classes 0 to 9, the lowest number first.
	lowestClass = 9
	// ranks is the number of ranks that are told apart. Further ones share the last class.
	ranks = 4
	// kindStep is by how many classes the less urgent kinds come after the urgent one at engines.
	kindStep = 3
)

// slackSteps divides the slack into steps, with one place in the queue each. They are about the times in
// which an engine processes one, two and four prompts of 8,000 tokens.
var slackSteps = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// Class returns the class that each attempt of a request is sent to an engine with: from the rank, and
// for less urgent kinds kindStep more. It doesn't depend on the slack: an engine short of memory preempts
// the runs of higher classes, whose prompts are then processed again, and among runs of one kind this
// costs more than it gains.
func (r Request) Class() int {
	rank := min(max(r.Rank, 0), ranks)
	if r.Urgent {
		return rank
	}
	return rank + kindStep
}

// Place returns the place of a waiting request in the queue at a time, the first one being the
// lowest. It rises with the slack, which is the time until the latency goal less that of processing the
// prompt, and with the rank.
func (r Request) Place(prefill time.Duration, now time.Time) int {
	place := min(max(r.Rank, 0), ranks)
	for _, s := range slackSteps {
		if r.Goal.Sub(now)-prefill >= s {
			place++
		}
	}
	return place
}

// Package placement estimates what a request costs at a backend server, and orders servers for it. What a
// node knows of the other nodes' requests is 0.2 to 1.5 s old: if all take the server of the lowest
// cost, those that look idle are overloaded in turn. OrderEvenly takes the requests into account that
// reports don't show yet (docs/design/balancing-with-stale-reports.md).
//
// # Usage
//
//	var t placement.Tally
//	for id, s := range servers {
//		t.Add(s)
//		all = append(all, placement.Candidate[string]{Server: id, Cost: s.Cost(r), Rank: rank(id), Zone: zone(id)})
//	}
//	placement.OrderEvenly(all, zones, t.Unseen(r))
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// DefaultAnswerTime is assumed for a server that has not answered yet if no other of its service has.
	DefaultAnswerTime = 40 * time.Millisecond
	// DefaultPrefillRate, in prompt tokens per millisecond, is assumed for an engine
	// until its rate is measured.
	DefaultPrefillRate = 8.0
	// fullPenalty is the cost added to an engine whose KV cache or slots are used up.
	fullPenalty     = 5 * time.Second
	maxKVCacheShare = 0.9
	// runPenalty is the cost of each run on an engine: a run gets hardly any tokens
	// while the engine processes a prompt.
	runPenalty = 250 * time.Millisecond
	// cachedPromptFactor is how many times the prompt's tokens are deducted for a server
	// that has already processed it: once for the time saved and once for the work
	// saved.
	cachedPromptFactor = 2
	// Costs are rounded to these steps. Servers with nearly equal costs then tie, so
	// that nodes that select at the same time do not all select the same server.
	engineCostStep = 100 * time.Millisecond
	plainCostStep  = 4 * time.Millisecond
	// slowdownDecayTime is the time constant with which a reported slowdown loses weight: it changes
	// many times a second. Slower phases of 0.6 s, of which a report may come at any time, last 0.3 s
	// more on average.
	slowdownDecayTime = 300 * time.Millisecond
	// maxSlowdown limits the effect of a wrong figure.
	maxSlowdown = 10
)

// Request is what a request needs of a server.
type Request struct {
	PromptTokens int
	Memory       int  // KV cache tokens that the whole run may need
	Capacity     int  // tokens that a server's KV cache can hold, 0 for plain requests
	Cached       bool // the server has processed the prompt
	// AnswerTime is assumed for a server that has not answered yet, 0 for DefaultAnswerTime.
	AnswerTime time.Duration
}

// Server is what is known of a server.
type Server struct {
	Slots       int
	Own         Work          // of this node
	Peers       Work          // of the other nodes
	Ages        time.Duration // sum of the ages of the reports of Peers.Running
	AnswerTime  time.Duration // moving average, 0 if it has not answered yet
	PrefillRate float64       // 0 for DefaultPrefillRate
	Slowdown    float64       // of its machine now, see Slowdown
}

// Cost is the expected response time, or for engines the expected time until the prompt is processed.
func (s Server) Cost(r Request) time.Duration {
	if r.Capacity == 0 {
		return s.plainCost(cmp.Or(s.AnswerTime, r.AnswerTime, DefaultAnswerTime))
	}
	running := s.Own.Running + s.Peers.Running
	tokens := s.Own.Prompts + s.Peers.Prompts + r.PromptTokens
	if r.Cached {
		tokens -= cachedPromptFactor * r.PromptTokens
	}
	c := s.PrefillTime(tokens) + time.Duration(running)*runPenalty
	if float64(s.Own.Memory+s.Peers.Memory+r.Memory) > maxKVCacheShare*float64(r.Capacity) {
		c += fullPenalty
	}
	if s.Slots > 0 && running >= s.Slots {
		c += fullPenalty
	}
	return c
}

// PrefillTime returns the time that the server needs to process prompt tokens.
func (s Server) PrefillTime(tokens int) time.Duration {
	rate := cmp.Or(s.PrefillRate, DefaultPrefillRate)
	return time.Duration(float64(tokens) / rate * s.Slowdown * float64(time.Millisecond))
}

func (s Server) plainCost(usual time.Duration) time.Duration {
	busy := float64(s.Own.Running+s.Peers.Running) / float64(max(s.Slots, 1))
	return time.Duration(float64(usual) * s.Slowdown * (1 + busy/4 + max(0, busy-0.8)*2))
}

// Round rounds the cost of a request.
func (r Request) Round(cost time.Duration) time.Duration { return cost.Round(r.costStep()) }

func (r Request) costStep() time.Duration {
	if r.Capacity > 0 {
		return engineCostStep
	}
	return plainCostStep
}

// Slowdown is how long work is expected to take on a server's machine in proportion to the usual
// time: what the server reported some time ago, which loses weight with age. 0 reports nothing.
func Slowdown(reported float64, age time.Duration) float64 {
	if reported == 0 {
		return 1
	}
	return 1 + (min(reported, maxSlowdown)-1)*math.Exp(-float64(max(0, age))/float64(slowdownDecayTime))
}

// MedianAnswerTime returns the lower median of the average answer times of servers, which one slow
// server does not change. It is 0 if none is given.
func MedianAnswerTime(known []time.Duration) time.Duration {
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

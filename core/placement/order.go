package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Candidate is a server that may get a request.
type Candidate[S any] struct {
	Server S
	Cost   time.Duration // with penalties, without the distance of the zone
	Rank   uint64        // of servers of equal cost, the one with the lowest rank comes first
	Zone   int32         // index of the server's zone
	Cached bool          // the server has processed the prompt, see OrderEvenly
	// Avoided is set if the server may be gone.
	Avoided bool
}

// Zone is a data centre.
type Zone struct {
	Name     string
	Distance time.Duration // 0 for this node's own
	Servers  int           // known ones, usable or not
	Outage   bool
}

// Zones are the data centres of a service's servers.
type Zones []Zone

// Index returns the index of a data centre, -1 if it is unknown.
func (z Zones) Index(name string) int32 {
	for i := range z {
		if z[i].Name == name {
			return int32(i)
		}
	}
	return -1
}

// Order orders candidates by cost and distance.
func Order[S any](all []Candidate[S], z Zones) {
	for i := range all {
		all[i].Cost += z[all[i].Zone].Distance
	}
	sort(all)
}

// OrderNearEqual orders candidates like Order, but those whose cost is within slack of the lowest by rank
// only. The first of them has most likely processed the prompt of a returning caller.
func OrderNearEqual[S any](all []Candidate[S], z Zones, slack time.Duration) {
	best := time.Duration(math.MaxInt64)
	for i := range all {
		all[i].Cost += z[all[i].Zone].Distance
		best = min(best, all[i].Cost)
	}
	for i := range all {
		if all[i].Cost <= best+slack {
			all[i].Cost = best
		}
	}
	sort(all)
}

func sort[S any](all []Candidate[S]) {
	slices.SortFunc(all, func(a, b Candidate[S]) int {
		if a.Cost != b.Cost {
			return cmp.Compare(a.Cost, b.Cost)
		}
		return cmp.Compare(a.Rank, b.Rank)
	})
}

// OrderEvenly orders candidates while other nodes send requests of a total cost of unseen that this
// node doesn't know of yet.
//
// If each server gets requests up to a common level of cost, the costs are equal afterwards; the level
// is that at which the differences add up to the unseen cost. Nodes use the servers of their own zone
// first: those of another one are expected to be filled to the level of that zone by its own nodes, and
// are used if they are cheaper even so, with the distance. A server comes first with a probability in
// proportion to what it lacks to the level. The same ranks lead to the same server unless costs change
// much (weighted rendezvous hashing). A server that has the prompt cached is first if it is below the
// level. Servers above the level follow by cost.
func OrderEvenly[S any](all []Candidate[S], z Zones, unseen time.Duration) {
	each, together := make([]int, len(z)), make([]int, len(z)) // a group for each zone, one for all
	own, servers := int32(-1), 0
	for i := range z {
		each[i] = i
		servers += z[i].Servers
		if z[i].Distance == 0 {
			own = int32(i)
		}
	}
	part := 1 / float64(max(len(z), 1)) // of the requests that this zone's nodes send
	if own >= 0 {
		part = float64(z[own].Servers) / float64(servers)
	}
	perServer := float64(unseen) / float64(max(len(all), 1))
	levels := fillLevels(all, each, perServer)
	for i, c := range all {
		if c.Zone != own {
			all[i].Cost = max(c.Cost, time.Duration(levels[c.Zone])) + z[c.Zone].Distance
		}
	}
	levels = fillLevels(all, together, perServer*part)
	for i, c := range all {
		if left := levels[0] - float64(c.Cost); left > 0 {
			uniform := (float64(c.Rank>>11) + 0.5) / (1 << 53) // above 0 and below 1
			all[i].Cost, all[i].Rank = math.MinInt64, math.Float64bits(-math.Log(uniform)/left)
			if c.Cached {
				all[i].Rank = 0
			}
		}
	}
	sort(all)
}

// fillLevels returns for each group of zones the level to which costs have to be raised so that the
// differences add up to a volume for each server of the group.
func fillLevels[S any](all []Candidate[S], groupOf []int, perServer float64) []float64 {
	type group struct {
		sum            float64
		below, servers int
	}
	levels := make([]float64, len(groupOf))
	for i := range levels {
		levels[i] = math.Inf(1)
	}
	groups := make([]group, len(groupOf))
	for changed := true; changed; {
		changed = false
		clear(groups)
		for _, c := range all {
			g := &groups[groupOf[c.Zone]]
			g.servers++
			if float64(c.Cost) < levels[groupOf[c.Zone]] {
				g.sum += float64(c.Cost)
				g.below++
			}
		}
		for i, g := range groups {
			if g.below == 0 {
				continue
			}
			if next := (g.sum + perServer*float64(g.servers)) / float64(g.below); next < levels[i] {
				levels[i], changed = next, true
			}
		}
	}
	return levels
}

// ageFactor is how much older what a node knows of the others' requests is than their reports: these are
// sums of earlier reports, and the next ones come later. With half as much, the waiting times of
// TestStaleReports are up to 0.3 higher; twice as much is no better.
const ageFactor = 6

// defaultRunTime is assumed for runs on engines until one has ended.
const defaultRunTime = time.Second

// Tally is what is known of a service's servers together.
type Tally struct {
	servers    int
	slots      int
	running    int           // requests of other nodes
	ages       time.Duration // of the reports of these
	answered   int           // servers that have
	answerTime time.Duration // sum of their averages
}

// Add adds a server.
func (t *Tally) Add(s Server) {
	t.servers++
	t.slots += s.Slots
	t.running += s.Peers.Running
	t.ages += s.Ages
	if s.AnswerTime > 0 {
		t.answered++
		t.answerTime += s.AnswerTime
	}
}

// Unseen estimates the cost of the requests like r that other nodes have sent since their reports. As
// many begin as end: of those that were running, the age of their reports in proportion to the time
// that a request takes, and at most all. It is at least a quarter of a cost step for each server, by which
// rounding changes a cost on average, so that small differences of measured times don't decide.
func (t *Tally) Unseen(r Request) time.Duration {
	average := t.answerTime / time.Duration(max(t.answered, 1))
	if average == 0 {
		average = DefaultAnswerTime
		if r.Capacity > 0 {
			average = defaultRunTime
		}
	}
	requests := min(float64(t.running), ageFactor*float64(t.ages)/float64(average))
	return max(time.Duration(requests*float64(t.increment(r, average))), r.costStep()*time.Duration(t.servers)/4)
}

// increment is by how much a request raises the cost of a server that is not full.
func (t *Tally) increment(r Request, average time.Duration) time.Duration {
	if r.Capacity > 0 {
		return Server{Slowdown: 1}.PrefillTime(r.PromptTokens) + runPenalty
	}
	return average * time.Duration(t.servers) / time.Duration(max(4*t.slots, 1))
}

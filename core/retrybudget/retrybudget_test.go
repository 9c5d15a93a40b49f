package retrybudget_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabeam/core/retrybudget"
)

var limit = retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}

const tick = 20 * time.Millisecond

// cluster is a set of nodes that share a limit, in virtual time.
type cluster struct {
	budgets  []*retrybudget.Budget
	now      time.Time
	requests []int // per tick, over all nodes
	retries  []int
}

func newCluster(nodes int) *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0)}
	for range nodes {
		b := retrybudget.New(limit)
		// Long requests that began before the windows that are checked: any number may be retried.
		for range 1000 {
			b.Begin(c.now.Add(-3 * limit.Window))
		}
		c.budgets = append(c.budgets, b)
	}
	return c
}

// exchangeUsage sends each node's usage to the others. The first nodes, as many as
// isolated says, are partitioned from the rest.
func (c *cluster) exchangeUsage(isolated int) {
	for i, from := range c.budgets {
		u := from.Usage(c.now)
		for j, to := range c.budgets {
			if i != j && (i < isolated) == (j < isolated) {
				to.RecordPeerUsage(strconv.Itoa(i), u, 1, c.now)
			}
		}
	}
}

// exchangeUsageExcept sends each node's usage to the others, except from and to a
// stopped node.
func (c *cluster) exchangeUsageExcept(stopped int) {
	for i, from := range c.budgets {
		for j, to := range c.budgets {
			if i != j && i != stopped && j != stopped {
				to.RecordPeerUsage(strconv.Itoa(i), from.Usage(c.now), 1, c.now)
			}
		}
	}
}

func (c *cluster) step(requests, wanted []int) {
	c.now = c.now.Add(tick)
	n, granted := 0, 0
	for i, b := range c.budgets {
		for range requests[i] {
			b.Begin(c.now)
			n++
		}
		for range wanted[i] {
			if b.AllowRetry(c.now, len(c.budgets), 1) {
				granted++
			}
		}
	}
	c.requests = append(c.requests, n)
	c.retries = append(c.retries, granted)
}

// maxExcess returns the largest excess over the limit in any window. The limit is based
// on the requests of that window or of the previous one, whichever is larger.
func (c *cluster) maxExcess() float64 {
	width := int(limit.Window / tick)
	worst := -1e9
	for end := range c.retries {
		first := max(0, end+1-width)
		before := max(0, first-width)
		allowed := limit.Ratio*float64(max(sum(c.requests[first:end+1]), sum(c.requests[before:first]))) + float64(limit.Extra)
		worst = max(worst, float64(sum(c.retries[first:end+1]))-allowed)
	}
	return worst
}

func sum(a []int) int {
	n := 0
	for _, x := range a {
		n += x
	}
	return n
}

// stop sends the last usage report of a node to the others.
func (c *cluster) stop(i int) {
	for j, to := range c.budgets {
		if j != i {
			to.RecordFinalUsage(strconv.Itoa(i), c.budgets[i].Usage(c.now), c.now)
		}
	}
}

// partitions describes a load on nodes that are partitioned again and again.
type partitions struct {
	nodes    int
	rate     int // requests of each node in every second tick
	retrying int // the node that always wants to retry; all do in every fourth second
	from     int // tick of the first partition
	size     int // nodes on one side
	length   int // ticks of a partition
	healed   int // ticks between two partitions
}

// excess plays the load and returns the largest excess over the limit.
func (p partitions) excess() float64 {
	c := newCluster(p.nodes)
	requests, wanted := make([]int, p.nodes), make([]int, p.nodes)
	for i := range 3000 {
		for j := range p.nodes {
			requests[j] = p.rate * (i % 2)
			wanted[j] = 0
			if j == p.retrying || i%200 < 50 {
				wanted[j] = 5
			}
		}
		c.step(requests, wanted)
		if i%10 == 0 {
			isolated := 0
			if i >= p.from && (i-p.from)%(p.length+p.healed) < p.length {
				isolated = p.size
			}
			c.exchangeUsage(isolated)
		}
	}
	return c.maxExcess()
}

// All nodes together stay within the limit in every window, whichever nodes retry and
// how often, also while some are partitioned, for a long time or repeatedly.
func TestRetriesOfAllNodesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		p := partitions{
			nodes:    nodes,
			rate:     rapid.IntRange(0, 3).Draw(t, "rate"),
			retrying: rapid.IntRange(0, nodes-1).Draw(t, "hungry"),
			from:     rapid.IntRange(0, 1000).Draw(t, "cutFrom"),
			size:     rapid.IntRange(0, nodes).Draw(t, "cutSize"),
			length:   rapid.SampledFrom([]int{20, 60, 300, 1000, 2500}).Draw(t, "cutLength"),
			healed:   rapid.SampledFrom([]int{20, 60, 300, 1000}).Draw(t, "healedLength"),
		}
		if x := p.excess(); x > 0 {
			t.Fatalf("%d nodes: %.0f retries over the limit", nodes, x)
		}
	})
}

// The first two cases were found by TestRetriesOfAllNodesStayWithinLimit: nodes that all
// retry between two reports each granted one retry more than their part of the rest.
func TestPartitionsStayWithinLimit(t *testing.T) {
	for _, p := range []partitions{
		{nodes: 11, from: 411, size: 2, length: 60, healed: 1000},
		{nodes: 9, from: 331, size: 6, length: 60, healed: 60},
		{nodes: 12, from: 400, size: 6, length: 60, healed: 1000},
		{nodes: 12, from: 600, size: 3, length: 300, healed: 300},
	} {
		if x := p.excess(); x > 0 {
			t.Errorf("%+v: %.0f retries over the limit", p, x)
		}
	}
}

// Many nodes that lose servers at the same moment all retry before they hear of each other.
func TestManyNodesRetryingAtOnceStayWithinLimit(t *testing.T) {
	for _, nodes := range []int{24, 87, 195, 410} {
		c := newCluster(nodes)
		requests, wanted, none := make([]int, nodes), make([]int, nodes), make([]int, nodes)
		for j := range nodes {
			requests[j], wanted[j] = j%2, 3
		}
		for i := range 150 {
			if i%50 == 0 {
				c.step(requests, none)
			} else {
				c.step(none, none)
			}
			if i == 120 {
				c.exchangeUsage(0)
			}
		}
		for range 3 {
			c.step(none, wanted)
		}
		if x := c.maxExcess(); x > 0 {
			t.Errorf("%d nodes: %.0f retries over the limit", nodes, x)
		}
	}
}

// A node that needs retries, for example after the loss of a data centre, may use what the
// others do not.
func TestNodeMayUseSharesOfOthers(t *testing.T) {
	c := newCluster(7)
	requests, wanted, none := []int{1, 1, 1, 1, 1, 1, 1}, []int{1, 0, 0, 0, 0, 0, 0}, make([]int, 7)
	for i := range 500 {
		c.step(requests[:], none)
		if i%10 == 0 {
			c.exchangeUsage(0)
		}
	}
	granted := sum(c.retries)
	for i := range 100 {
		c.step(requests, wanted)
		if i%10 == 0 {
			c.exchangeUsage(0)
		}
	}
	if n := sum(c.retries) - granted; n != 100 {
		t.Errorf("got %d of 100 retries, want all", n)
	}
}

// Nodes that are lost for good block the common budget for little more than one window.
func TestLostNodesBlockCoordinationOnlyBriefly(t *testing.T) {
	c := newCluster(7)
	requests, wanted, none := []int{1, 1, 1, 1, 1, 1, 0}, []int{0, 0, 0, 0, 0, 0, 1}, make([]int, 7)
	for i := range 1000 {
		c.step(requests, none)
		if i%10 == 0 {
			c.exchangeUsage(min(i/100, 3)) // three nodes are lost one after the other
		}
	}
	granted := sum(c.retries)
	for i := range 100 {
		c.step(requests, wanted)
		if i%10 == 0 {
			c.exchangeUsage(3)
		}
	}
	if n := sum(c.retries) - granted; n != 100 {
		t.Errorf("got %d of 100 retries, want all", n)
	}
}

// Nodes that are restarted in turn do not block the common budget.
func TestRollingRestartDoesNotBlockCoordination(t *testing.T) {
	c := newCluster(7)
	requests, none := []int{1, 1, 1, 1, 1, 1, 0}, make([]int, 7)
	wanted := []int{0, 0, 0, 0, 0, 0, 1}
	granted := 0
	for i := range 600 {
		stopped := 1 + i/100 // all but the node that retries, two seconds each
		if i%100 == 0 {
			c.stop(stopped - 1)
		}
		before := sum(c.retries)
		if i%6 == 0 {
			c.step(requests, wanted)
		} else {
			c.step(requests, none)
		}
		granted += sum(c.retries) - before
		if i%10 == 0 {
			c.exchangeUsageExcept(stopped - 1)
		}
	}
	if granted != 100 {
		t.Errorf("got %d of 100 retries, want all", granted)
	}
}

// lossOfDataCentre plays the loss of a data centre's servers, twice within a window, on a site
// where each node has one long request in progress on average, those of the lost data centre,
// a sixth, three. Each is retried at the same moment; with all set, so are those of all
// nodes. It returns the retries that were wanted and granted and the excess over the limit.
func lossOfDataCentre(nodes int, all bool) (wanted, granted int, excess float64) {
	const duration = 280 // ticks that a request takes, 5.6 s
	c := &cluster{now: time.Unix(1_000_000, 0)}
	for range nodes {
		c.budgets = append(c.budgets, retrybudget.New(limit))
	}
	none := make([]int, nodes)
	running := make([]int, nodes)
	ends := make(map[int][]int) // nodes whose requests end, by tick
	for i := range 900 {
		requests, retries := make([]int, nodes), none
		for j := range nodes {
			interval := duration / 3
			if j >= nodes/6 {
				interval = duration * 5 / 3
			}
			if (i+j*37)%interval == 0 {
				requests[j] = 1
				running[j]++
				ends[i+duration] = append(ends[i+duration], j)
			}
		}
		for _, j := range ends[i] {
			running[j]--
			c.budgets[j].End()
		}
		if i == 600 || i == 850 {
			retries = make([]int, nodes)
			for j := range nodes {
				if all || j < nodes/6 {
					retries[j] = running[j]
					wanted += running[j]
				}
			}
		}
		before := sum(c.retries)
		c.step(requests, retries)
		granted += sum(c.retries) - before
		if i == 570 || i == 600 || i == 840 {
			c.exchangeUsage(0)
		}
	}
	return wanted, granted, c.maxExcess()
}

// On large sites the requests that were lost with a data centre are all retried, and if all
// are lost the limit still holds.
func TestManyNodesLeaveBudgetToThoseWhoNeedIt(t *testing.T) {
	for _, nodes := range []int{24, 195} {
		if wanted, granted, excess := lossOfDataCentre(nodes, false); granted < wanted || excess > 0 {
			t.Errorf("%d nodes: %d of %d retries granted, %.0f over the limit", nodes, granted, wanted, max(excess, 0))
		}
		if _, _, excess := lossOfDataCentre(nodes, true); excess > 0 {
			t.Errorf("%d nodes that all retry: %.0f over the limit", nodes, excess)
		}
	}
}

// laterRetries plays requests on all nodes, of which some retry several each at the same moment, up to four
// times without a report in between. It returns the later retries that were wanted and granted and
// the excess over the limit.
func laterRetries(nodes, running, retrying, each int) (wanted, granted int, excess float64) {
	c := &cluster{now: time.Unix(1_000_000, 0)}
	for range nodes {
		c.budgets = append(c.budgets, retrybudget.New(limit))
	}
	none := make([]int, nodes)
	for i := range 300 {
		requests := none
		if i%(100/running) == 0 {
			requests = make([]int, nodes)
			for j := range requests {
				requests[j] = 1
			}
		}
		c.step(requests, none)
		if i%25 == 0 {
			c.exchangeUsage(0)
		}
	}
	firsts := make([]int, nodes)
	for j := range nodes {
		for range each {
			if j < retrying && c.budgets[j].AllowRetry(c.now, nodes, 1) {
				firsts[j]++
			}
		}
	}
	c.requests, c.retries = append(c.requests, 0), append(c.retries, sum(firsts))
	later := 0
	for retry := 2; retry <= 4; retry++ {
		for j, n := range firsts {
			for range n {
				wanted++
				if c.budgets[j].AllowRetry(c.now, nodes, retry) {
					granted++
					later++
				}
			}
		}
	}
	c.requests, c.retries = append(c.requests, 0), append(c.retries, later)
	return wanted, granted, c.maxExcess()
}

// Guards against later retries that are refused because other nodes have many requests in progress, and against
// more than the limit if all nodes retry their requests again and again before they hear of each other.
func TestLaterRetriesStayWithinLimit(t *testing.T) {
	for _, nodes := range []int{24, 127} {
		for _, running := range []int{1, 4} {
			for _, retrying := range []int{1, nodes / 6, nodes} {
				if _, _, excess := laterRetries(nodes, running, retrying, 3*running); excess > 0 {
					t.Errorf("%d nodes, %d retry %d requests: %.0f over the limit", nodes, retrying, 3*running, excess)
				}
			}
		}
	}
	if wanted, granted, _ := laterRetries(24, 4, 1, 2); granted < wanted {
		t.Errorf("%d of %d later retries of one node were granted", granted, wanted)
	}
}

// Guards against reserved retries that count although they were not made, or not as of the time when they were.
func TestReservedRetryCountsWhenItIsMade(t *testing.T) {
	for _, nodes := range []int{1, 2} { // with and without reports of all nodes
		b := retrybudget.New(retrybudget.Limit{Extra: 40, Window: 10 * time.Second})
		now := time.Unix(1_000_000, 0)
		reserve := func() (all []retrybudget.Reservation) {
			for r, ok := b.Reserve(now, nodes, 1); ok; r, ok = b.Reserve(now, nodes, 1) {
				all = append(all, r)
			}
			return all
		}
		first := reserve()
		for _, r := range first {
			b.Return(r)
		}
		if again := reserve(); len(first) == 0 || len(again) != len(first) {
			t.Fatalf("%d nodes: %d retries after %d were returned", nodes, len(again), len(first))
		}
		for _, r := range first { // twice, as for an attempt that could not be sent
			b.Renew(b.Renew(r, now.Add(4*time.Second)), now.Add(8*time.Second))
		}
		now = now.Add(12 * time.Second)
		if got := b.Usage(now).Repeats; got != len(first) {
			t.Errorf("%d nodes: %d retries count, want the %d that were made", nodes, got, len(first))
		}
		if got := len(reserve()); got != 0 {
			t.Errorf("%d nodes: %d retries within a window of those that were made, want none", nodes, got)
		}
		now = now.Add(20 * time.Second)
		kept := reserve()
		now = now.Add(20 * time.Second)
		b.Return(kept[0])
		if got := len(reserve()); got != len(first) {
			t.Errorf("%d nodes: %d retries in a later window, want %d", nodes, got, len(first))
		}
	}
}

package repeat_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabeam/core/repeat"
)

var bound = repeat.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}

const tick = 20 * time.Millisecond

// fleet is some nodes that share a bound, in virtual time.
type fleet struct {
	budgets []*repeat.Budget
	now     time.Time
	firsts  []int // in each tick, over all nodes
	repeats []int
}

func newFleet(nodes int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0)}
	for range nodes {
		f.budgets = append(f.budgets, repeat.New(bound))
	}
	return f
}

// tell makes the nodes hear each other. The first of them, so many as cut says, are
// cut off from the others.
func (f *fleet) tell(cut int) {
	for i, from := range f.budgets {
		u := from.Usage(f.now)
		for j, to := range f.budgets {
			if i != j && (i < cut) == (j < cut) {
				to.Heard(strconv.Itoa(i), u, 1, f.now)
			}
		}
	}
}

// tellBut makes the nodes hear each other, but for one that doesn't run.
func (f *fleet) tellBut(stopped int) {
	for i, from := range f.budgets {
		for j, to := range f.budgets {
			if i != j && i != stopped && j != stopped {
				to.Heard(strconv.Itoa(i), from.Usage(f.now), 1, f.now)
			}
		}
	}
}

func (f *fleet) step(firsts, wanted []int) {
	f.now = f.now.Add(tick)
	n, granted := 0, 0
	for i, b := range f.budgets {
		for range firsts[i] {
			b.First(f.now)
			n++
		}
		for range wanted[i] {
			if b.Repeat(f.now, len(f.budgets)) {
				granted++
			}
		}
	}
	f.firsts = append(f.firsts, n)
	f.repeats = append(f.repeats, granted)
}

// over returns the largest excess over the bound of any window, by the requests of
// that window or the one before it.
func (f *fleet) over() float64 {
	width := int(bound.Window / tick)
	worst := -1e9
	for end := range f.repeats {
		first := max(0, end+1-width)
		before := max(0, first-width)
		allowed := bound.Ratio*float64(max(sum(f.firsts[first:end+1]), sum(f.firsts[before:first]))) + float64(bound.Extra)
		worst = max(worst, float64(sum(f.repeats[first:end+1]))-allowed)
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

// stop makes a node tell its last word.
func (f *fleet) stop(i int) {
	for j, to := range f.budgets {
		if j != i {
			to.HeardLast(strconv.Itoa(i), f.budgets[i].Usage(f.now), f.now)
		}
	}
}

// All nodes together keep to the bound in every window, whoever wants to repeat how
// much, also while some of them are cut off, for long or again and again.
func TestAllNodesKeepToBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		f := newFleet(nodes)
		rate := rapid.IntRange(0, 3).Draw(t, "rate")
		hungry := rapid.IntRange(0, nodes-1).Draw(t, "hungry")
		from := rapid.IntRange(0, 1000).Draw(t, "cutFrom")
		size := rapid.IntRange(0, nodes).Draw(t, "cutSize")
		length := rapid.SampledFrom([]int{20, 60, 300, 1000, 2500}).Draw(t, "cutLength")
		healed := rapid.SampledFrom([]int{20, 60, 300, 1000}).Draw(t, "healedLength")
		firsts, wanted := make([]int, nodes), make([]int, nodes)
		for i := range 3000 {
			for j := range nodes {
				firsts[j] = rate * (i % 2)
				wanted[j] = 0
				if j == hungry || i%200 < 50 {
					wanted[j] = 5
				}
			}
			f.step(firsts, wanted)
			if i%10 == 0 {
				cut := 0
				if i >= from && (i-from)%(length+healed) < length {
					cut = size
				}
				f.tell(cut)
			}
		}
		if x := f.over(); x > 0 {
			t.Fatalf("%d nodes: %.0f repeats over the bound", nodes, x)
		}
	})
}

// A node that needs repeats may use what the others don't.
func TestLostDataCentreMayUseSharesOfOthers(t *testing.T) {
	f := newFleet(7)
	firsts, wanted, none := []int{1, 1, 1, 1, 1, 1, 1}, []int{1, 0, 0, 0, 0, 0, 0}, make([]int, 7)
	for i := range 500 {
		f.step(firsts[:], none)
		if i%10 == 0 {
			f.tell(0)
		}
	}
	granted := sum(f.repeats)
	for i := range 100 {
		f.step(firsts, wanted)
		if i%10 == 0 {
			f.tell(0)
		}
	}
	if n := sum(f.repeats) - granted; n != 100 {
		t.Errorf("%d of 100 repeats were allowed", n)
	}
}

// Hosts that are lost for good keep the others from sharing the bound for little more
// than a window.
func TestLostNodesDontHoldBackTheOthers(t *testing.T) {
	f := newFleet(7)
	firsts, wanted, none := []int{1, 1, 1, 1, 1, 1, 0}, []int{0, 0, 0, 0, 0, 0, 1}, make([]int, 7)
	for i := range 1000 {
		f.step(firsts, none)
		if i%10 == 0 {
			f.tell(min(i/100, 3)) // three of them go, one after the other
		}
	}
	granted := sum(f.repeats)
	for i := range 100 {
		f.step(firsts, wanted)
		if i%10 == 0 {
			f.tell(3)
		}
	}
	if n := sum(f.repeats) - granted; n != 100 {
		t.Errorf("%d of 100 repeats were allowed", n)
	}
}

// Hosts that are stopped and started in turn don't keep the others from sharing.
func TestRollingStopDoesNotHoldBackTheOthers(t *testing.T) {
	f := newFleet(7)
	firsts, none := []int{1, 1, 1, 1, 1, 1, 0}, make([]int, 7)
	wanted := []int{0, 0, 0, 0, 0, 0, 1}
	granted := 0
	for i := range 600 {
		stopped := 1 + i/100 // all but the one that wants to repeat, each for two seconds
		if i%100 == 0 {
			f.stop(stopped - 1)
		}
		before := sum(f.repeats)
		if i%6 == 0 {
			f.step(firsts, wanted)
		} else {
			f.step(firsts, none)
		}
		granted += sum(f.repeats) - before
		if i%10 == 0 {
			f.tellBut(stopped - 1)
		}
	}
	if granted != 100 {
		t.Errorf("%d of 100 repeats were allowed", granted)
	}
}

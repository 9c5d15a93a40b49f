package readers_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/readers"
)

func hosts(n int, region string) []readers.Host {
	all := make([]readers.Host, n)
	for i := range all {
		all[i] = readers.Host{Name: fmt.Sprintf("%s-%03d", region, i), Region: region, Live: true}
	}
	return all
}

// reading returns the names of the hosts that read, given the age of their state.
func reading(all []readers.Host, t readers.Timing, age time.Duration) []string {
	var names []string
	for _, h := range all {
		if t.ShouldRead(readers.Ahead(h, all), age) {
			names = append(names, h.Name)
		}
	}
	return names
}

func TestOneHostReadsInEachRegion(t *testing.T) {
	timing := readers.NewTiming(2, 5*time.Second)
	for _, n := range []int{1, 7, 87, 410} {
		all := append(hosts(n, "north"), hosts(n, "south")...)
		if got := fmt.Sprint(reading(all, timing, timing.TakeoverAge())); got != "[north-000 south-000]" {
			t.Errorf("%d hosts in each region: %s read", n, got)
		}
	}
}

func TestHostsThatCannotReadArePassedOver(t *testing.T) {
	all := hosts(20, "north")
	all[0].Live, all[1].Leaving, all[2].StoreLost, all[3].StoreLost = false, true, true, true
	if got := readers.Ahead(all[4], all); got != 0 {
		t.Errorf("%d hosts are ahead of the first that can read, want 0", got)
	}
}

// While the store is down for all, hosts take over one after the other.
func TestOutageOfStoreDrawsFewHosts(t *testing.T) {
	timing := readers.NewTiming(2, 5*time.Second)
	all := hosts(200, "north")
	for i := range all {
		all[i].StoreLost = true
	}
	for age, most := range map[time.Duration]int{0: 3, timing.TakeoverAge(): 3, timing.TakeoverAge() + time.Second: 8} {
		if got := len(reading(all, timing, age)); got == 0 || got > most {
			t.Errorf("with a state of %v %d hosts read, want 1 to %d", age, got, most)
		}
	}
}

// A lost response must leave time for a second query within the bound, and the state must
// not count as out of date in normal operation.
func TestTimingFollowsBounds(t *testing.T) {
	for _, c := range []struct {
		hops   int
		bounds []time.Duration
	}{
		{1, []time.Duration{2500 * time.Millisecond, 5 * time.Second}}, {2, []time.Duration{4 * time.Second, 5 * time.Second}},
		{2, []time.Duration{5 * time.Second, 0}}, {2, []time.Duration{2500 * time.Millisecond}},
	} {
		timing := readers.NewTiming(c.hops, c.bounds...)
		if age := timing.PollWait() + time.Duration(c.hops)*600*time.Millisecond; age >= timing.TakeoverAge() {
			t.Errorf("%+v: a state of %v is normal and out of date", c, age)
		}
		for _, b := range c.bounds {
			if b > 0 && (timing.TakeoverAge() >= b || 2*timing.PollWait() >= b) {
				t.Errorf("%+v: takeover at %v, queries of %v", c, timing.TakeoverAge(), timing.PollWait())
			}
		}
	}
	if timing := readers.NewTiming(1); timing.PollWait() != 3*time.Second {
		t.Errorf("without bounds a query waits %v, want 3s", timing.PollWait())
	}
}

// Hosts that start together list the hosts before all have registered: those without lower
// names in their lists all read the store.
func TestOneHostReadsWhileHostsRegister(t *testing.T) {
	all := hosts(8, "north")
	order := []int{5, 3, 6, 0, 7, 1, 4, 2}
	var first []string
	for i, x := range order {
		all[x].Listed = uint64(i + 10)
		var listed []readers.Host // right after its registration
		for _, y := range order[:i] {
			listed = append(listed, all[y])
		}
		listed = append(listed, readers.Host{Name: "north-000a", Region: "north", Live: true}) // known from a report
		if readers.AheadAtStart(all[x], listed) == 0 {
			first = append(first, all[x].Name)
		}
		unlisted := all[x]
		unlisted.Listed = 0
		if got := readers.AheadAtStart(unlisted, listed); i > 0 && got != i {
			t.Errorf("before its registration %d hosts are ahead of %s, want %d", got, all[x].Name, i)
		}
	}
	if got := fmt.Sprint(first); got != "[north-005]" {
		t.Errorf("%s read at the start", got)
	}
	if got := readers.AheadAtStart(hosts(3, "north")[2], hosts(2, "north")); got != 2 {
		t.Errorf("without a list %d hosts are ahead, want the 2 with lower names", got)
	}
}

// Hundreds of hosts that start together all read the whole tables after 100 ms; the link between
// the regions carried them so slowly that none arrived within its time limit.
func TestStartingHostsDoNotReadAtOnce(t *testing.T) {
	all := hosts(150, "north")
	count := func(waited time.Duration) int {
		n := 0
		for _, h := range all {
			if readers.ShouldReadAtStart(readers.AheadAtStart(h, all), waited) {
				n++
			}
		}
		return n
	}
	if got := []int{count(0), count(200 * time.Millisecond), count(time.Second)}; got[0] != 1 || got[1] != 2 || got[2] < 3 || got[2] > 6 {
		t.Errorf("%d hosts read at once, after 0.2 and 1 s, want 1, 2 and a few", got)
	}
}

// The first host that knows all servers must not send the list to all others at once.
func TestWholeListsAreLimited(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sent := func(servers int, over time.Duration) int {
		var l readers.ListLimit
		n := 0
		for at := now; !at.After(now.Add(over)); at = at.Add(10 * time.Millisecond) {
			for range 50 {
				if l.Allow(servers, at) {
					n++
				}
			}
		}
		return n
	}
	if got := sent(3000, 0); got != 4 {
		t.Errorf("%d lists of 3,000 servers at once, want 4", got)
	}
	if got := sent(3000, time.Second); got < 20 || got > 26 {
		t.Errorf("%d lists of 3,000 servers in a second, want 24", got)
	}
	if got := sent(132, 0); got != 50 {
		t.Errorf("%d of 50 lists of 132 servers at once", got)
	}
}

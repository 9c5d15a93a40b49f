package connlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// bench adds connections at successive seconds and records which are closed.
type bench struct {
	limit  *Limit
	now    time.Time
	closed []string
}

func newBench(n int) *bench { return &bench{limit: New(n), now: time.Unix(1000, 0)} }

func (b *bench) add(name, from string) *Conn {
	b.now = b.now.Add(time.Second)
	return b.limit.Add(from, b.now, func() { b.closed = append(b.closed, name) })
}

func (b *bench) check(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(b.closed, want) {
		t.Errorf("closed %v, want %v", b.closed, want)
	}
}

// Guards against a limit that closes other connections than the one that has waited longest, or that
// closes any below the limit.
func TestOldestWaitingConnectionGivesWay(t *testing.T) {
	b := newBench(4)
	all := make(map[string]*Conn)
	for _, n := range []string{"a", "b", "c", "d"} {
		all[n] = b.add(n, n)
	}
	b.check(t)
	if !all["a"].Begin() {
		t.Fatal("a connection below the limit was closed")
	}
	b.add("e", "e")
	b.check(t, "b")
	all["a"].Wait(b.now) // has waited less than c and d
	b.add("f", "f")
	b.add("g", "g")
	b.check(t, "b", "c", "d")
	if all["b"].Begin() {
		t.Error("a request runs on a closed connection")
	}
	all["b"].Remove()
	if n := b.limit.Open(); n != 4 {
		t.Errorf("%d connections are counted, want 4", n)
	}
}

// Guards against a limit that closes a connection with a request in progress.
func TestRequestsInProgressAreKept(t *testing.T) {
	b := newBench(3)
	for i := range 3 {
		b.add(fmt.Sprint(i), fmt.Sprint(i)).Begin()
	}
	if b.add("new", "new") != nil {
		t.Error("a connection was added beyond the limit")
	}
	b.check(t)
	if closed, refused := b.limit.Totals(); closed != 0 || refused != 1 {
		t.Errorf("%d closed and %d refused, want 0 and 1", closed, refused)
	}
}

// Guards against one address that takes all connections, and against addresses that matter below the
// limit.
func TestAddressCountsUnderPressureOnly(t *testing.T) {
	b := newBench(16)
	b.add("first", "quiet")
	for i := range 14 {
		b.add(fmt.Sprint(i), "busy")
	}
	b.check(t)
	b.add("14", "busy") // its share of 14 is reached
	b.check(t, "0")
	b.add("x", "other")
	b.add("y", "another")
	b.check(t, "0", "1") // at the limit the address with most gives way, not the oldest
}

// Guards against refusals of other addresses while one has only requests in progress.
func TestOneAddressLeavesRoomForOthers(t *testing.T) {
	b := newBench(16)
	kept := 0
	for i := range 20 {
		if c := b.add(fmt.Sprint(i), "balancer"); c != nil {
			c.Begin()
			kept++
		}
	}
	if kept != 14 {
		t.Errorf("the address got %d connections, want 14", kept)
	}
	if b.add("x", "other") == nil {
		t.Error("another address got none")
	}
	b.check(t)
}

// Guards against shares that leave too few descriptors for servers, hosts and the store.
func TestSharesLeaveRoom(t *testing.T) {
	for _, n := range []int{16, 64, 500, 1024, 2870, 4100, 1 << 20} {
		s := Divide(n)
		left := n - min(200, n/4) - s.Callers() - s.Hosts() - 2*s.Probes()
		if left < s.Callers() || s.Probes() < 1 {
			t.Errorf("%d descriptors: %+v leaves %d", n, s, left)
		}
	}
	if s := Divide(2870); s.Callers() != 801 || s.Hosts() != 667 || s.Probes() != 32 {
		t.Errorf("2870 descriptors: got %+v", s)
	}
}

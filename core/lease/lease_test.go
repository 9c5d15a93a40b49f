package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/core/lease"
)

var start = time.Now()

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestStampsOfOthersGrantNothing(t *testing.T) {
	g := lease.NewGrantor(7, at(0))
	for _, s := range []lease.Stamp{{}, {Grantor: 8, At: time.Millisecond}, {Grantor: 7, At: time.Hour}} {
		if until, valid := g.Deadline(s, at(100)); valid {
			t.Errorf("%v: got a lease until %v", s, until)
		}
	}
	if until, valid := g.Deadline(g.Stamp(at(100)), at(200)); !valid || !until.Equal(at(100).Add(lease.Term)) {
		t.Errorf("got %v, %v", until, valid)
	}
}

func TestOlderStampsAreIgnored(t *testing.T) {
	g, h := lease.NewGrantor(7, at(0)), lease.Holder{}
	early, late := g.Stamp(at(100)), g.Stamp(at(160))
	h.Receive(late, at(170))
	h.Receive(early, at(300))
	if h.Latest() != late || !h.Until().Equal(at(170).Add(lease.Term)) {
		t.Errorf("got %v until %v", h.Latest(), h.Until())
	}
	again := lease.NewGrantor(9, at(400)).Stamp(at(401))
	if h.Receive(again, at(402)); h.Latest() != again {
		t.Error("the stamp of a grantor that has started again was ignored")
	}
}

// message is on its way until a time.
type message struct {
	stamp   lease.Stamp
	arrives int // ms
}

// Guards against a holder that relies on the end of work that goes on: messages are lost, arrive late
// and in any order, and the clocks of the two differ.
func TestLeaseEndsAtGrantorFirst(t *testing.T) {
	ended := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(42, seed))
		skew := time.Duration(r.IntN(100_000)) * time.Millisecond
		theirs := func(ms int) time.Time { return at(ms).Add(skew) }
		g, h := lease.NewGrantor(7, theirs(0)), lease.Holder{}
		until := theirs(0).Add(lease.Term)
		h.Receive(g.Stamp(theirs(0)), at(r.IntN(50)))
		loss, delay, cut := r.Float64()*0.6, 1+r.IntN(400), 500+r.IntN(2000)
		var toGrantor, toHolder []message
		for ms := 50; ms < 6000; ms++ {
			now := at(ms)
			if now.After(h.Until()) {
				ended++
				if until.After(theirs(ms)) {
					t.Fatalf("seed %d: the holder relies on the end at %d ms, the grantor works on until %v later", seed, ms, until.Sub(theirs(ms)))
				}
				break
			}
			send := func(all *[]message, s lease.Stamp) {
				if ms < cut && r.Float64() >= loss {
					*all = append(*all, message{s, ms + 1 + r.IntN(delay)})
				}
			}
			if ms%40 == 0 {
				send(&toGrantor, h.Latest())
			}
			for _, m := range toGrantor {
				if m.arrives == ms {
					if u, valid := g.Deadline(m.stamp, theirs(ms)); valid && u.After(until) && theirs(ms).Before(until) {
						until = u
					}
					send(&toHolder, g.Stamp(theirs(ms)))
				}
			}
			for _, m := range toHolder {
				if m.arrives == ms {
					h.Receive(m.stamp, now)
				}
			}
		}
	}
	if ended < 1900 {
		t.Errorf("%d of 2000 leases ended", ended)
	}
}

package freshness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabeam/core/catalog"
	"cicadabeam/core/freshness"
)

func newCatalog(n uint64) *catalog.Catalog { return catalog.New(catalog.Spec{Revision: n}) }

func TestOlderRevisionIsRejected(t *testing.T) {
	x := freshness.New()
	if !x.Update(newCatalog(7), 10*time.Second) {
		t.Error("the first catalog is rejected")
	}
	if x.Update(newCatalog(5), 20*time.Second) {
		t.Error("an older catalog is accepted")
	}
	if got := x.Catalog().Revision(); got != 7 {
		t.Errorf("got revision %d, want 7", got)
	}
	if age := x.Age(21 * time.Second); age != 11*time.Second {
		t.Errorf("an older catalog confirms the newer one: age %v", age)
	}
}

func TestAgeCountsFromWhenQueryWasSent(t *testing.T) {
	x := freshness.New()
	if age := x.Age(time.Hour); age != freshness.AgeUnknown {
		t.Errorf("got age %v without a catalog, want AgeUnknown", age)
	}
	x.Update(newCatalog(1), 10*time.Second)
	x.Confirm(1, 12*time.Second)
	x.Confirm(1, 11*time.Second) // a response that arrived out of order
	x.Confirm(2, 15*time.Second) // about a revision that is not held
	if age := x.Age(16 * time.Second); age != 4*time.Second {
		t.Errorf("got age %v, want 4s", age)
	}
}

// The store reads its clock between the sending of the query and the arrival of the
// response. StoreClock must never return a time after that reading.
func TestStoreClockNeverReturnsLaterTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c freshness.StoreClock
		offset := time.Duration(rapid.Int64Range(1, 1e6).Draw(t, "offset")) * time.Millisecond
		now := time.Hour
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			sent := now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond
			answered := sent + time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait"))*time.Millisecond
			received := answered + time.Duration(rapid.IntRange(0, 300).Draw(t, "way"))*time.Millisecond
			at := c.ToLocal((answered - time.Hour + offset).Milliseconds(), sent, received)
			if at > answered || at < sent {
				t.Fatalf("sent %v, answered %v, received %v: got %v", sent, answered, received, at)
			}
			now = received
		}
	})
}

// A reading that was rounded down must not make a later one look like a jump of the clock.
func TestStoreClockToleratesRoundedReadings(t *testing.T) {
	const us = time.Microsecond
	var c freshness.StoreClock
	c.ToLocal(10_000, 10*time.Second+900*us, 10*time.Second+980*us)
	at := c.ToLocal(11_000, 10*time.Second+990*us, 11*time.Second+50*us)
	if at < 11*time.Second-time.Millisecond || at > 11*time.Second {
		t.Errorf("got time %v for a reading at 11 s, want at most 1 ms less", at)
	}
}

func TestStoreClockDropsOffsetAfterClockJump(t *testing.T) {
	var c freshness.StoreClock
	c.ToLocal(1000, 10*time.Second, 10*time.Second+5*time.Millisecond)
	// One second passes on this host, one hour on the store's clock.
	if at := c.ToLocal(3_602_000, 11*time.Second, 12*time.Second); at != 11*time.Second {
		t.Errorf("got time %v after a clock jump, want 11s", at)
	}
	if at := c.ToLocal(0, 13*time.Second, 14*time.Second); at != 13*time.Second {
		t.Errorf("got time %v without a reading, want 13s", at)
	}
}

package kvbackup_test

import (
	"testing"
	"time"

	"cicadabeam/core/kvbackup"
)

const ttl = 4 * time.Second

// A run that lost its backup always has a copy that is not about to expire, and only one
// is made at a time.
func TestCopyIsRenewedBeforeItExpires(t *testing.T) {
	r := kvbackup.NewRun(ttl)
	now := time.Unix(1_000_000, 0)
	if r.Begin(now, false) {
		t.Error("a copy is made although the backup is there")
	}
	copies := 0
	var done time.Time
	for i := range 600 { // an event each 50 ms for 30 s; a copy takes 200 ms
		now = now.Add(50 * time.Millisecond)
		if !done.IsZero() && !now.Before(done) {
			done = time.Time{}
			r.Complete(kvbackup.Copy{Server: "s3", Handle: "h"}, now)
			copies++
		}
		if r.Begin(now, true) {
			if !done.IsZero() {
				t.Fatal("two copies are made at once")
			}
			done = now.Add(200 * time.Millisecond)
		}
		if _, found := r.Current(now); i > 10 && !found {
			t.Fatalf("no copy %v after the loss", time.Duration(i)*50*time.Millisecond)
		}
	}
	if copies < 8 || copies > 14 {
		t.Errorf("%d copies in 30 s, want one each 2.4 s", copies)
	}
}

func TestFailedAndLostCopies(t *testing.T) {
	r := kvbackup.NewRun(ttl)
	now := time.Unix(1_000_000, 0)
	r.Begin(now, true)
	r.Fail("s1", now)
	if !r.Failed()["s1"] || r.Failed()["s3"] {
		t.Errorf("got failed servers %v, want s1", r.Failed())
	}
	if r.Begin(now.Add(100*time.Millisecond), true) {
		t.Error("a failed copy is tried again at once")
	}
	now = now.Add(time.Second)
	if !r.Begin(now, true) {
		t.Error("a failed copy is not tried again")
	}
	r.Complete(kvbackup.Copy{Server: "s3", Handle: "h"}, now)
	r.Drop("s2")
	if c, found := r.Current(now); !found || c.Server != "s3" {
		t.Errorf("got copy %+v, found %v; want the one on s3", c, found)
	}
	r.Drop("s3")
	if _, found := r.Current(now); found || !r.Begin(now, true) {
		t.Error("a lost copy is not replaced at once")
	}
	r.Complete(kvbackup.Copy{Server: "s4", Handle: "h"}, now)
	if _, found := r.Current(now.Add(ttl)); found {
		t.Error("an expired copy is used")
	}
}

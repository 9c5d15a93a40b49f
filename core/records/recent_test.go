package records

import (
	"testing"
	"time"

	"cicadabeam/core/claim"
)

// Guards against changes that are not written again because the time of day has jumped since.
func TestRecentChangesIgnoreTimeOfDay(t *testing.T) {
	var c recentChanges
	now := time.Now()
	c.add(recentChange{entry: AuditEntry{Revision: 1, At: now.UTC().Add(-time.Hour)}, at: now, era: 1}) // the clock was an hour behind
	c.add(recentChange{entry: AuditEntry{Revision: 2, At: now.UTC()}, at: now.Add(-2 * MaxCopyAge), era: 1})
	c.add(recentChange{entry: AuditEntry{Revision: 3, At: now.UTC()}, at: now, era: 2})
	all := c.before(2, now)
	if len(all) != 1 || all[0].entry.Revision != 1 {
		t.Errorf("got %d changes to write again, want that of revision 1 only", len(all))
	}
}

// Guards against claims and changes that a second restore loses for good: what was written again
// after the first one is as young as that write.
func TestRecordsWrittenAgainAreRecent(t *testing.T) {
	now := time.Now()
	written := now.Add(-MaxCopyAge + time.Second)
	var claims recentClaims
	x := &recentClaim{rowKey: "k", row: claim.Row{ID: "c1"}, at: written, era: 1}
	claims.add(x)
	claims.rewritten(*x, 2, now)
	later := now.Add(30 * time.Second)
	if n := len(claims.before(3, later)); n != 1 {
		t.Errorf("got %d claims to write again after the second restore, want 1", n)
	}
	if n := len(claims.before(2, later)); n != 0 {
		t.Errorf("got %d claims to write again that were written in this era, want 0", n)
	}
	claims.add(&recentClaim{rowKey: "k", row: claim.Row{ID: "c2"}, at: written, era: 3})
	claims.rewritten(*x, 4, now)
	if all := claims.before(4, now); len(all) != 1 || all[0].era != 3 {
		t.Errorf("got %v, want the claim that replaced the one that was written again", all)
	}

	var changes recentChanges
	changes.add(recentChange{entry: AuditEntry{Change: "a"}, at: written, era: 1})
	changes.rewritten("a", now)
	if n := len(changes.before(3, later)); n != 1 {
		t.Errorf("got %d changes to write again after the second restore, want 1", n)
	}
}

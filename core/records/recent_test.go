package records

import (
	"testing"
	"time"
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

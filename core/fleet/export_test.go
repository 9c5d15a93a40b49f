package fleet

import "time"

// MarkReplacedAt is MarkReplaced at a time.
func MarkReplacedAt(m *Member, now time.Time) { m.markReplaced(now) }

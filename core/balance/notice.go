package balance

import "time"

// Source tells who says that a server leaves.
type Source string

// The sources of notices.
const (
	FromServer   Source = "server"
	FromHostList Source = "host-list"
)

// noticeKeeping is how long nodes pass on that a server no longer leaves.
const noticeKeeping = 5 * time.Minute

// Notice is a source's word on whether a server leaves. The newest counts.
type Notice struct {
	Server  string
	Source  Source
	Leaving bool
	At      int64 // Unix time in milliseconds
	// changed is when Leaving last changed.
	changed time.Time
}

// note takes a notice unless it is older than the last one, and tells whether the
// server begins or ceases to leave.
func (l *load) note(n Notice) bool {
	last, known := l.notices[n.Source]
	if known && n.At <= last.At {
		return false
	}
	n.changed = last.changed
	fresh := last.Leaving != n.Leaving
	if fresh {
		n.changed = time.Now()
	}
	l.notices[n.Source] = n
	return fresh
}

// Note takes notices and tells whether any changed whether a server leaves.
func (t *Table) Note(notices ...Notice) bool {
	fresh := false
	for _, n := range notices {
		fresh = t.noteOne(n) || fresh
	}
	return fresh
}

func (t *Table) noteOne(n Notice) bool {
	l := t.load(n.Server)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.note(n)
}

// Notices returns what other nodes should know: which servers leave, and which
// have lately ceased to.
func (t *Table) Notices(now time.Time) []Notice {
	var all []Notice
	for _, l := range t.loads.Values() {
		all = l.appendNotices(all, now)
	}
	return all
}

func (l *load) appendNotices(all []Notice, now time.Time) []Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.notices {
		if n.Leaving || now.Sub(n.changed) < noticeKeeping {
			all = append(all, n)
		}
	}
	return all
}

package balance

import "time"

// Source identifies where a notice comes from.
type Source string

// Values of Source: the server itself, and the host list.
const (
	FromServer   Source = "server"
	FromHostList Source = "host-list"
)

// noticeRetention is how long nodes propagate a notice that a server is no longer
// leaving.
const noticeRetention = 5 * time.Minute

// LeaveNotice is a source's statement whether a server is leaving. The newest notice of
// each source applies.
type LeaveNotice struct {
	Server  string
	Source  Source
	Leaving bool
	At      int64 // Unix time in milliseconds
	// changed is the local time at which Leaving last changed.
	changed time.Time
}

// applyNotice records a notice unless it is no newer than the source's last one.
// It reports whether this changed the source's Leaving.
func (l *serverLoad) applyNotice(n LeaveNotice) bool {
	last, known := l.notices[n.Source]
	if known && n.At <= last.At {
		return false
	}
	n.changed = last.changed
	leavingChanged := last.Leaving != n.Leaving
	if leavingChanged {
		n.changed = time.Now()
	}
	l.notices[n.Source] = n
	return leavingChanged
}

// ApplyNotices records notices and reports whether any of them changed whether a source
// says that its server is leaving.
func (t *Table) ApplyNotices(notices ...LeaveNotice) bool {
	changed := false
	for _, n := range notices {
		changed = t.applyOne(n) || changed
	}
	return changed
}

func (t *Table) applyOne(n LeaveNotice) bool {
	l := t.serverLoad(n.Server)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applyNotice(n)
}

// Notices returns the notices to propagate to other nodes: those of servers that
// are leaving, and those withdrawn within noticeRetention.
func (t *Table) Notices(now time.Time) []LeaveNotice {
	var all []LeaveNotice
	for _, l := range t.loads.Values() {
		all = l.appendNotices(all, now)
	}
	return all
}

func (l *serverLoad) appendNotices(all []LeaveNotice, now time.Time) []LeaveNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.notices {
		if n.Leaving || now.Sub(n.changed) < noticeRetention {
			all = append(all, n)
		}
	}
	return all
}

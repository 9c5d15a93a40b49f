package fleet

import (
	"sync"
	"time"
)

const (
	// leavingReportWindow is how long a node reports a server that said that it leaves.
	leavingReportWindow = 30 * time.Second
	// leavingRetention is how long it is remembered beside the registry. An entry that
	// expired may reappear in an older state.
	leavingRetention = 10 * time.Minute
)

// LeavingServer names a server that said in a response that it leaves, and how long ago.
type LeavingServer struct {
	ID        string
	StartedMS int64
	Age       time.Duration
}

// serverKey names one start of a server.
type serverKey struct {
	id      string
	started int64
}

func (s Server) key() serverKey { return serverKey{s.ID, s.StartedMS} }

// leavingServers records when servers said that they leave.
type leavingServers struct {
	mu   sync.Mutex
	said map[serverKey]time.Time
}

// record records a statement, unless the server made one before. It reports whether it is
// new.
func (l *leavingServers) record(k serverKey, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.said[k]; known {
		return false
	}
	if l.said == nil {
		l.said = make(map[serverKey]time.Time)
	}
	l.said[k] = at
	return true
}

func (l *leavingServers) contains(k serverKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.said[k]
	return known
}

func (l *leavingServers) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, at := range l.said {
		if now.Sub(at) > leavingRetention {
			delete(l.said, k)
		}
	}
}

func (l *leavingServers) recent(now time.Time) []LeavingServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []LeavingServer
	for k, at := range l.said {
		if age := now.Sub(at); age <= leavingReportWindow {
			all = append(all, LeavingServer{ID: k.id, StartedMS: k.started, Age: age})
		}
	}
	return all
}

// RecordLeaving records that a server said that it leaves. It gets no further requests,
// whatever its registry entry says. RecordLeaving reports whether this is new.
func (f *Fleet) RecordLeaving(m *Member, now time.Time) bool {
	m.setLeaving()
	return f.recordLeaving(m.key(), now)
}

// recordLeaving records a statement before it looks for the server, so that one that is
// added meanwhile has it.
func (f *Fleet) recordLeaving(k serverKey, at time.Time) bool {
	added := f.leaving.record(k, at)
	if m := f.Find(k.id); m != nil && m.key() == k {
		m.setLeaving()
	}
	return added
}

// RecentlyLeaving returns the servers that said recently that they leave, to this node or to
// another one, for other nodes.
func (f *Fleet) RecentlyLeaving(now time.Time) []LeavingServer { return f.leaving.recent(now) }

// MergeLeaving records the statements that another node reports and returns the servers of
// which they are news. Servers that this node does not know yet are remembered.
func (f *Fleet) MergeLeaving(all []LeavingServer, now time.Time) []LeavingServer {
	var added []LeavingServer
	for _, x := range all {
		if x.Age <= leavingReportWindow && f.recordLeaving(serverKey{x.ID, x.StartedMS}, now.Add(-x.Age)) {
			added = append(added, x)
		}
	}
	return added
}

// key names the server's start, which does not change.
func (m *Member) key() serverKey { return serverKey{m.server.ID, m.server.StartedMS} }

func (m *Member) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.saidLeaving = true
}

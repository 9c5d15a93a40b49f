package fleet

import "time"

// peerWorkTTL is how long a work report of another node is valid.
const peerWorkTTL = 1500 * time.Millisecond

// Work is the work that a node has in flight on a server.
type Work struct {
	Running int
	Urgent  int // those of them with Query.Urgent; nodes of earlier versions don't count them
	Prompts int // prompt tokens not processed yet
	Memory  int // KV cache tokens that the runs may need
}

// Plus returns the sum of two works.
func (w Work) Plus(x Work) Work {
	return Work{Running: w.Running + x.Running, Urgent: w.Urgent + x.Urgent, Prompts: w.Prompts + x.Prompts, Memory: w.Memory + x.Memory}
}

type workReport struct {
	work Work
	at   time.Time
}

// Work returns the work that this node has in flight, by server ID.
func (f *Fleet) Work() map[string]Work {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make(map[string]Work)
	for id, m := range f.members {
		if w := m.work(); w != (Work{}) {
			all[id] = w
		}
	}
	return all
}

// RecordPeerWork records a work report of another node, or the aggregated report of
// another data centre. Only servers in this report or in the previous one are touched, as
// hundreds of reports arrive per second.
func (f *Fleet) RecordPeerWork(node string, work map[string]Work, now time.Time) {
	f.lastPeerWork.Store(&now)
	f.peerWorkMu.Lock()
	before := f.peerWork[node]
	f.peerWork[node] = work
	if len(work) == 0 {
		delete(f.peerWork, node)
	}
	f.peerWorkMu.Unlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for id := range before {
		m := f.members[id]
		if _, still := work[id]; !still && m != nil {
			m.removePeerWork(node)
		}
	}
	for id, w := range work {
		if m := f.members[id]; m != nil {
			m.setPeerWork(node, w, now)
		}
	}
}

// peerWorkKnown reports whether the work reports of other nodes are current.
func (f *Fleet) peerWorkKnown(now time.Time) bool {
	last := f.lastPeerWork.Load()
	return last != nil && now.Sub(*last) < peerWorkTTL
}

func (m *Member) work() Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.workLocked()
}

func (m *Member) workLocked() Work {
	return Work{Running: m.running, Urgent: m.urgent, Prompts: m.pendingPromptTokens, Memory: m.reservedKVCacheTokens}
}

func (m *Member) setPeerWork(node string, w Work, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workByNode == nil {
		m.workByNode = make(map[string]workReport)
	}
	m.workByNode[node] = workReport{work: w, at: now}
}

func (m *Member) removePeerWork(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.workByNode, node)
}

// sumPeerWork returns the total work of the other nodes and removes expired reports.
func (m *Member) sumPeerWork(now time.Time) Work {
	var all Work
	for node, r := range m.workByNode {
		if now.Sub(r.at) > peerWorkTTL {
			delete(m.workByNode, node)
			continue
		}
		all = all.Plus(r.work)
	}
	return all
}

// kvCacheNeed returns the KV cache tokens that the runs of all nodes on the server may need,
// and whether the server stays and was not just unreachable.
func (m *Member) kvCacheNeed(now time.Time) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.remainsLocked(now) || now.Before(m.backoffUntil) || m.lostAt.After(m.lastContact) && now.Sub(m.lostAt) < outageHold {
		return 0, false
	}
	return m.reservedKVCacheTokens + m.sumPeerWork(now).Memory, true
}

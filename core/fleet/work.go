package fleet

import (
	"time"

	"cicadabeam/core/placement"
)

// Work is the work that a node has in flight on a server.
type Work = placement.Work

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
	return last != nil && now.Sub(*last) < placement.ReportTTL
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
	m.peers.Set(node, w, now)
}

func (m *Member) removePeerWork(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers.Remove(node)
}

// kvCacheNeed returns the KV cache tokens that the runs of all nodes on the server may need,
// and whether the server stays and was not just unreachable.
func (m *Member) kvCacheNeed(now time.Time) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.remainsLocked(now) || now.Before(m.backoffUntil) || m.lostAt.After(m.lastContact) && now.Sub(m.lostAt) < outageHold {
		return 0, false
	}
	peers, _ := m.peers.Sum(now)
	return m.reservedKVCacheTokens + peers.Memory, true
}

// AddWork adds the work of another node, by server ID, to a sum.
func AddWork(sum, more map[string]Work) {
	for id, w := range more {
		sum[id] = sum[id].Add(w)
	}
}

package fleet

import "time"

// workTrust is how long another node's word about its work is believed.
const workTrust = 1500 * time.Millisecond

// Work is what a node has under way on a server.
type Work struct {
	Running int
	Prompts int // prompt tokens yet to be read
	Memory  int // tokens that its runs may need
}

type heardWork struct {
	work Work
	at   time.Time
}

// Work returns what this node has under way, by the ids of the servers.
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

// Heard takes another node's word about its work. Only the servers that it names now,
// or named before, are touched: words come by the hundred a second.
func (f *Fleet) Heard(node string, work map[string]Work, now time.Time) {
	f.lastHeard.Store(now.UnixNano())
	f.toldMu.Lock()
	before := f.told[node]
	f.told[node] = work
	if len(work) == 0 {
		delete(f.told, node)
	}
	f.toldMu.Unlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for id := range before {
		m := f.members[id]
		if _, still := work[id]; !still && m != nil {
			m.forget(node)
		}
	}
	for id, w := range work {
		if m := f.members[id]; m != nil {
			m.heard(node, w, now)
		}
	}
}

// informed tells whether other nodes' words are at hand.
func (f *Fleet) informed(now time.Time) bool {
	return now.UnixNano()-f.lastHeard.Load() < int64(workTrust)
}

func (m *Member) work() Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Work{Running: m.running, Prompts: m.prompts, Memory: m.memory}
}

func (m *Member) heard(node string, w Work, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nodes == nil {
		m.nodes = make(map[string]heardWork)
	}
	m.nodes[node] = heardWork{work: w, at: now}
}

func (m *Member) forget(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, node)
}

// told sums up the other nodes' words, and drops old ones.
func (m *Member) told(now time.Time) Work {
	var all Work
	for node, h := range m.nodes {
		if now.Sub(h.at) > workTrust {
			delete(m.nodes, node)
			continue
		}
		all.Running += h.work.Running
		all.Prompts += h.work.Prompts
		all.Memory += h.work.Memory
	}
	return all
}

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

// Heard takes another node's word about its work.
func (f *Fleet) Heard(node string, work map[string]Work, now time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	f.lastHeard.Store(now.UnixNano())
	for id, m := range f.members {
		m.heard(node, work[id], now)
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

// told sums up the other nodes' words.
func (m *Member) told(now time.Time) Work {
	var all Work
	for _, h := range m.nodes {
		if now.Sub(h.at) > workTrust {
			continue
		}
		all.Running += h.work.Running
		all.Prompts += h.work.Prompts
		all.Memory += h.work.Memory
	}
	return all
}

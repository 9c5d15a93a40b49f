package serverlimit

import "time"

// Report returns the statements of servers that this node knows, and its use of these servers.
func (t *Table) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	for name, s := range t.servers {
		age := now.Sub(s.statedAt)
		if age > retention {
			delete(t.servers, name)
			t.count()
			continue
		}
		if s.ended && age > endReportTime {
			continue
		}
		if r == nil {
			r = make(Report)
		}
		r[name] = ServerReport{Limit: s.limit, Ended: s.ended, Age: age, Demand: s.demand.at(now), Sent: s.sent.count(now)}
	}
	return r
}

// Add adds the report of another node, received some time ago, to one for other data centres.
func (r Report) Add(x Report, age time.Duration) Report {
	if r == nil && len(x) > 0 {
		r = make(Report)
	}
	for name, s := range x {
		s.Age += age
		sum, known := r[name]
		if !known || s.Age < sum.Age {
			sum.Limit, sum.Ended, sum.Age = s.Limit, s.Ended, s.Age
		}
		sum.Demand += s.Demand
		sum.Sent += s.Sent
		r[name] = sum
	}
	return r
}

// Merge applies a report of some other nodes as of a time. It returns the names of the servers
// whose limit is new to this node, is another one, or ended.
func (t *Table) Merge(from string, r Report, nodes int, at time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes[from] = heard{nodes: nodes, at: at}
	var changed []string
	for name, x := range r {
		if t.state(name, x.Limit, x.Ended, at.Add(-x.Age), at) {
			changed = append(changed, name)
		}
		if s := t.servers[name]; s != nil {
			s.others[from] = use{demand: x.Demand, sent: x.Sent, at: at}
		}
	}
	if t.Any() {
		t.expire(from, r, at)
	}
	return changed
}

// expire removes what is not reported any more.
func (t *Table) expire(from string, r Report, now time.Time) {
	for name, s := range t.servers {
		if _, reported := r[name]; !reported {
			delete(s.others, from)
		}
		for other, x := range s.others {
			if now.Sub(x.at) > reportTTL {
				delete(s.others, other)
			}
		}
	}
}

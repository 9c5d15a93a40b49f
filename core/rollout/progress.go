package rollout

import (
	"cmp"
	"time"
)

// Progress is what a host, or all hosts of a data centre, report on a roll-out.
type Progress struct {
	OrderID uint64
	Term    uint64 // of the state that is followed; the earliest one of several hosts
	Seq     uint64
	OldRuns int // on servers of other versions than the target
	Hosts   int
	Age     time.Duration
}

// Report has the progress of roll-outs by service.
type Report map[string]Progress

// Report returns what this host follows: nothing of a state whose permit has ended, as it sends to
// the old servers then. runs tells the host's runs on a service's servers of other versions than
// the target.
func (t *Table) Report(runs func(service, target string) int, now time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all Report
	for name, s := range t.services {
		id, target := s.current()
		if id == 0 {
			continue
		}
		p := Progress{OrderID: id, Hosts: 1, OldRuns: runs(name, target)}
		if s.state != nil && s.state.ID == id && (s.state.Phase.Final() || s.permitted(now)) {
			p.Term, p.Seq = s.state.Term, s.state.Seq
		}
		if all == nil {
			all = make(Report)
		}
		all[name] = p
	}
	return all
}

// HostReport is the report of a host with the time since it was made.
type HostReport struct {
	Report Report
	Age    time.Duration
}

// Sum adds up the reports of the hosts of a data centre. A host whose report doesn't mention a service
// doesn't follow its roll-out, so that each host is to be passed.
func Sum(all []HostReport) Report {
	sum := make(Report)
	for _, h := range all {
		for name := range h.Report {
			sum[name] = Progress{}
		}
	}
	for name := range sum {
		var p Progress
		for i, h := range all {
			x := h.Report[name]
			if i == 0 || earlier(x, p) {
				p.OrderID, p.Term, p.Seq = x.OrderID, x.Term, x.Seq
			}
			p.OldRuns += x.OldRuns
			p.Hosts++
			p.Age = max(p.Age, x.Age+h.Age)
		}
		sum[name] = p
	}
	return sum
}

func earlier(a, b Progress) bool {
	return cmp.Or(cmp.Compare(a.OrderID, b.OrderID), cmp.Compare(a.Term, b.Term), cmp.Compare(a.Seq, b.Seq)) < 0
}

package placement

import (
	"slices"
	"time"
)

// ReportTTL is how long a work report of another node is valid.
const ReportTTL = 1500 * time.Millisecond

// Work is the work that a node has in flight on a server.
type Work struct {
	Running int
	Urgent  int // those of them of the kind with the tightest latency goal; nodes of earlier versions don't count them
	Prompts int // prompt tokens not processed yet
	Memory  int // KV cache tokens that the runs may need
}

// Add returns the sum of w and x.
func (w Work) Add(x Work) Work {
	return Work{Running: w.Running + x.Running, Urgent: w.Urgent + x.Urgent, Prompts: w.Prompts + x.Prompts, Memory: w.Memory + x.Memory}
}

// Reports are the last reports of other nodes of their work on a server, of which there are few. The zero
// value has none.
type Reports struct{ all []report }

type report struct {
	node string
	work Work
	at   time.Time
}

// Set replaces the report of a node by one as of a time.
func (r *Reports) Set(node string, w Work, at time.Time) {
	r.Remove(node)
	r.all = append(r.all, report{node: node, work: w, at: at})
}

// Remove removes the report of a node.
func (r *Reports) Remove(node string) {
	for i := range r.all {
		if r.all[i].node == node {
			r.all[i] = r.all[len(r.all)-1]
			r.all = r.all[:len(r.all)-1]
			return
		}
	}
}

// Sum returns the total work of the other nodes, and the sum of the ages of their reports of each running
// request. It removes expired reports.
func (r *Reports) Sum(now time.Time) (sum Work, ages time.Duration) {
	expired := 0
	for i := range r.all {
		age := now.Sub(r.all[i].at)
		if age > ReportTTL {
			expired++
			continue
		}
		sum = sum.Add(r.all[i].work)
		ages += time.Duration(r.all[i].work.Running) * age
	}
	if expired > 0 {
		r.all = slices.DeleteFunc(r.all, func(x report) bool { return now.Sub(x.at) > ReportTTL })
	}
	return sum, ages
}

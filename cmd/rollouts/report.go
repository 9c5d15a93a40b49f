package rollouts

import (
	"slices"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/rollout"
	"cicadabeam/io/neighbour"
)

// Orders returns the orders and states that this host knows, for one that has just learnt the
// configuration from it.
func (r *Rollouts) Orders() *neighbour.RolloutReport {
	if r == nil {
		return nil
	}
	now := r.Uptime()
	r.mu.Lock()
	x := &neighbour.RolloutReport{OrdersKnown: r.ordersKnown, OrdersAge: now - r.ordersAsOf}
	r.mu.Unlock()
	x.Orders, x.States = r.table.Orders(), r.table.States(now)
	return x
}

// Report returns this host's report to another one.
func (r *Rollouts) Report() *neighbour.RolloutReport {
	x := r.Orders()
	if x != nil && len(x.Orders)+len(x.States) > 0 {
		x.Progress, x.Evidence = r.traffic.Progress(), r.ownEvidence()
	}
	return x
}

// ownEvidence returns what this host has counted.
func (r *Rollouts) ownEvidence() canary.Report {
	now := r.Uptime()
	states := r.table.States(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidenceAt != 0 && now-r.evidenceAt < evidenceInterval {
		return r.evidence
	}
	r.evidence, r.evidenceAt = nil, now
	for _, a := range states {
		if ms, known := r.table.StoreMS(a.State.Service, now); known && !a.State.Phase.Final() {
			r.evidence = r.recorder.Report(ms)
			break
		}
	}
	return r.evidence
}

// Merge applies a report of another host that was requested at uptime sent. It reports whether the host
// is to be asked again, because its report has news whose age is not known.
func (r *Rollouts) Merge(x *neighbour.RolloutReport, sent time.Duration) bool {
	if r == nil || x == nil {
		return false
	}
	if sent == UnknownSendTime {
		return r.hasNews(x)
	}
	if x.OrdersKnown {
		r.setOrders(x.Orders, sent-x.OrdersAge, "peer")
	}
	now := r.Uptime()
	if len(x.States) > 0 && r.hasNews(x) {
		defer r.PassOn()
	}
	for _, a := range x.States {
		if r.table.Merge(a.State, a.Age+now-sent, now) {
			r.Log("rollout state", map[string]any{
				"service": a.State.Service, "to": a.State.Target, "order": a.State.ID, "term": a.State.Term, "seq": a.State.Seq, "phase": a.State.Phase.String(),
				"share": a.State.Share, "driver": a.State.Driver, "age_ms": (a.Age + now - sent).Milliseconds(),
			})
		}
	}
	return false
}

// hasNews reports whether a report has newer orders or states than this host.
func (r *Rollouts) hasNews(x *neighbour.RolloutReport) bool {
	own := r.Orders()
	if x.OrdersKnown && (!own.OrdersKnown || x.OrdersAge < own.OrdersAge && !slices.Equal(x.Orders, own.Orders)) {
		return true
	}
	return slices.ContainsFunc(x.States, func(a rollout.Announced) bool {
		known, _, found := r.table.State(a.State.Service, r.Uptime())
		return !found || a.State.Supersedes(known)
	})
}

// Collect adds the evidence of a host of this data centre for other data centres.
func (r *Rollouts) Collect(host string, x *neighbour.RolloutReport) {
	if r != nil && x != nil && len(x.Evidence) > 0 {
		r.collector.Merge(host, x.Evidence)
	}
}

// Sum returns the report of the data centre of this host. hosts are its others.
func (r *Rollouts) Sum(hosts []Origin) *neighbour.RolloutReport {
	own := r.Report()
	if own == nil || len(own.Progress) == 0 {
		return nil
	}
	orders := make(map[string]uint64)
	for service, p := range own.Progress {
		orders[service] = p.OrderID
	}
	r.collector.Retain(orders)
	r.Collect(r.Name, own)
	all := []rollout.HostReport{{Report: own.Progress}}
	for _, h := range hosts {
		x := rollout.HostReport{Age: h.Age}
		if h.Report != nil {
			x.Report = h.Report.Progress
		}
		all = append(all, x)
	}
	return &neighbour.RolloutReport{Progress: rollout.Sum(all), Evidence: r.collector.Report()}
}

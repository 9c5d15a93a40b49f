package rollouts

import (
	"slices"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/rollout"
	"cicadabeam/platform"
)

// ApplyRows applies rows of the operator's table, which were current at uptime asOf or later: all of
// them if full is set, else those that changed. While settled is false, an order may be missing because
// the store came back from an older copy. An order that the operator may have written again since
// then, kept is set, is taken for the same one.
func (r *Rollouts) ApplyRows(rows []platform.Row, full bool, asOf time.Duration, settled, kept bool) {
	if r == nil {
		return
	}
	known := make(map[string]rollout.Order)
	for _, o := range r.table.Orders() {
		known[o.Service] = o
	}
	r.mu.Lock()
	if full {
		r.stored = make(map[string]rollout.Order)
	}
	for _, row := range rows {
		if !platform.IsOrder(row.Key) {
			continue
		}
		delete(r.stored, platform.OrderService(row.Key))
		if row.Deleted {
			continue
		}
		o, err := platform.DecodeOrder(row)
		if err != nil {
			r.Log("rollout order rejected", map[string]any{"key": row.Key, "version": row.Version, "error": err.Error()})
			continue
		}
		r.stored[o.Service] = identify(o, known[o.Service], kept)
	}
	var all []rollout.Order
	for _, o := range r.stored {
		all = append(all, o)
	}
	for service, o := range known {
		if _, found := r.stored[service]; !found && !settled {
			all = append(all, o)
		}
	}
	r.mu.Unlock()
	r.setOrders(all, asOf, "store")
}

// identify gives an order the ID of the known one if it is the same. The store gives versions out
// again after it came back from an older copy, so that a new order may have a lower one.
func identify(o, known rollout.Order, kept bool) rollout.Order {
	same := known
	same.ID = o.ID
	switch {
	case known.ID == 0:
	case same == o && (kept || o.ID <= known.ID):
		o.ID = known.ID
	case o.ID <= known.ID:
		o.ID = known.ID + 1
	}
	return o
}

// setOrders sets the orders as of an uptime, unless newer ones are known.
func (r *Rollouts) setOrders(all []rollout.Order, asOf time.Duration, from string) {
	r.mu.Lock()
	if r.ordersKnown && asOf < r.ordersAsOf {
		r.mu.Unlock()
		return
	}
	r.ordersKnown, r.ordersAsOf = true, asOf
	r.mu.Unlock()
	before := r.table.Orders()
	r.table.SetOrders(all, asOf)
	after := r.table.Orders()
	if slices.Equal(before, after) {
		return
	}
	for _, o := range after {
		if !slices.Contains(before, o) {
			r.Log("rollout order", map[string]any{"service": o.Service, "to": o.Target, "order": o.ID, "length_ms": o.Length.Milliseconds(), "from": from})
		}
	}
	for _, o := range before {
		if !slices.ContainsFunc(after, func(x rollout.Order) bool { return x.Service == o.Service }) {
			r.Log("rollout order removed", map[string]any{"service": o.Service, "to": o.Target, "order": o.ID, "from": from})
		}
	}
	r.Notify()
}

// SetServers sets the software versions that services have: those of the known servers and of added
// ones, which the host is about to use.
func (r *Rollouts) SetServers(added ...fleet.Server) {
	if r == nil {
		return
	}
	all := make(map[string][]string)
	add := func(s fleet.Server) {
		if !slices.Contains(all[s.Service], s.Version) {
			all[s.Service] = append(all[s.Service], s.Version)
		}
	}
	for _, s := range r.Fleet.Registered() {
		if s.DeregisteredAt.IsZero() {
			add(s.Server)
		}
	}
	for _, s := range added {
		add(s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Uptime()
	for service, versions := range all {
		slices.Sort(versions)
		if !slices.Equal(versions, r.versions[service]) {
			r.table.SetVersions(service, versions, now)
		}
	}
	for service := range r.versions {
		if _, found := all[service]; !found {
			r.table.SetVersions(service, nil, now)
		}
	}
	r.versions = all
}

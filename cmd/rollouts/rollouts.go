// Package rollouts connects the roll-outs of core/rollout with an entry host on the users' platform:
// the orders in the store, the reports between hosts, the servers and the driver. Methods of a nil
// *Rollouts do nothing, so that a host without roll-outs needs no conditions.
//
// # Usage
//
//	r := rollouts.New(rollouts.Host{...})        // nil if roll-outs are disabled
//	r.ApplyRows(rows, full, asOf, settled, kept) // of the operator's table
//	fetch := r.Merge(report, sent)               // from another host
//	report := r.Report()                         // to another host
//	err := r.Run(ctx)
package rollouts

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/fleet"
	"cicadabeam/core/rollout"
	"cicadabeam/core/rollout/driver"
	"cicadabeam/core/rollout/traffic"
	"cicadabeam/io/neighbour"
)

// UnknownSendTime is the time at which a report was sent that this host did not request. It permits
// nothing, as its age is unknown.
const UnknownSendTime = time.Duration(-1 << 63)

// evidenceInterval is the time for which a report of this host's evidence is sent.
const evidenceInterval = 100 * time.Millisecond

// Host is the host that Rollouts work for.
type Host struct {
	Name   string
	Limits rollout.Limits
	Fleet  *fleet.Fleet
	Store  driver.Store
	// Uptime reads a clock that keeps running while the host is suspended.
	Uptime func() time.Duration
	// Notify makes the host exchange reports at once, PassOn too if other data centres, or the hosts of
	// its own, learn of news by it.
	Notify     func()
	PassOn     func()
	ReadsStore func() bool
	// Origins returns the latest reports of the other hosts, of those of other data centres in sums.
	Origins func() []Origin
	Log     func(event string, fields map[string]any)
}

// Origin is a host or, behind gateways, a data centre.
type Origin struct {
	Name   string
	Report *neighbour.RolloutReport
	Age    time.Duration
}

// Rollouts is the state of roll-outs on a host.
type Rollouts struct {
	Host
	table     *rollout.Table
	recorder  *canary.Recorder
	collector *canary.Collector
	traffic   *traffic.Traffic
	driver    *driver.Driver

	mu          sync.Mutex
	stored      map[string]rollout.Order // in the store, by the last read of this host
	ordersKnown bool
	ordersAsOf  time.Duration // uptime
	evidence    canary.Report // of this host
	evidenceAt  time.Duration // uptime
	versions    map[string][]string
}

// New returns the roll-outs of a host, nil if its limits disable them.
func New(h Host) *Rollouts {
	if h.Limits.ExposureShare <= 0 {
		return nil
	}
	r := &Rollouts{Host: h, table: rollout.NewTable(h.Limits, nil), recorder: canary.NewRecorder(), collector: canary.NewCollector(), stored: make(map[string]rollout.Order), versions: make(map[string][]string)}
	r.traffic = traffic.New(r.table, r.recorder, h.Uptime)
	r.driver = driver.New(driver.Host{Name: h.Name, Limits: h.Limits, Table: r.table, Store: h.Store, Peers: knowledge{r}, Uptime: h.Uptime, Log: h.Log})
	return r
}

// Traffic returns what applies the roll-outs to requests.
func (r *Rollouts) Traffic() *traffic.Traffic {
	if r == nil {
		return nil
	}
	return r.traffic
}

// Run drives roll-outs until ctx is done.
func (r *Rollouts) Run(ctx context.Context) error {
	if r == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return r.driver.Run(ctx)
}

// Gauges sets the gauges of each service with a roll-out.
func (r *Rollouts) Gauges(set func(name, service string, value float64)) {
	if r == nil {
		return
	}
	for _, a := range r.table.States(r.Uptime()) {
		set("rollout_phase", a.State.Service, float64(a.State.Phase))
		set("rollout_share", a.State.Service, a.State.Share)
		set("rollout_exposed", a.State.Service, float64(a.State.Exposed))
		set("rollout_bad", a.State.Service, float64(a.State.Bad))
	}
}

// knowledge implements driver.Peers.
type knowledge struct{ r *Rollouts }

func (k knowledge) ReadsStore() bool { return k.r.Host.ReadsStore() }
func (k knowledge) Notify()          { k.r.Host.Notify() }

// Evidence implements driver.Peers.
func (k knowledge) Evidence() map[string]canary.Report {
	all := map[string]canary.Report{k.r.Name: k.r.ownEvidence()}
	for _, o := range k.r.Origins() {
		if o.Report != nil {
			all[o.Name] = o.Report.Evidence
		}
	}
	return all
}

// Progress implements driver.Peers.
func (k knowledge) Progress(service string) map[string]rollout.Progress {
	all := map[string]rollout.Progress{k.r.Name: k.r.traffic.Progress()[service]}
	for _, o := range k.r.Origins() {
		var p rollout.Progress
		if o.Report != nil {
			p = o.Report.Progress[service]
		}
		p.Age += o.Age
		all[o.Name] = p
	}
	return all
}

// Versions implements driver.Peers.
func (k knowledge) Versions(service string) map[string]int {
	return k.r.Fleet.Versions(service, time.Now())
}

// UsualDuration implements driver.Peers.
func (k knowledge) UsualDuration(service string) time.Duration {
	return k.r.traffic.UsualDuration(service)
}

// Package driver drives roll-outs. One host that reads the store for its region becomes the driver of
// an order by writing its lease into the order's row. It renews the lease, advances the state by the
// evidence and the progress that hosts report, and announces it.
//
// An advance is announced once it is known to be written; a roll-back at once. A driver whose write
// conflicts, or whose lease has expired by a clock that also runs while the host is suspended,
// announces nothing more.
//
// # Usage
//
//	d := driver.New(driver.Host{Name: "host-1", Limits: limits, Table: table, Store: store, Peers: peers, Uptime: uptime, Log: log})
//	err := d.Run(ctx)
package driver

import (
	"context"
	"time"

	"cicadabeam/core/canary"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/core/rollout"
)

const (
	// tickInterval is the time between two decisions.
	tickInterval = 100 * time.Millisecond
	// callTimeout limits a call to the store, so that a lease can be renewed after one that was lost.
	callTimeout = 1200 * time.Millisecond
	// retryDelay is the time between two looks at a row that another host may drive, and after a call
	// that failed.
	retryDelay = 300 * time.Millisecond
)

// Store has the rows of roll-outs.
type Store interface {
	Load(ctx context.Context, service string) (records.RolloutRow, error)
	// Save writes a state if the row is still at a revision, and returns a *records.ConflictError if it
	// is not. After another error it may have been written, or may yet be.
	Save(ctx context.Context, s rollout.State, revision freshness.StoreVersion) (freshness.StoreVersion, error)
	// Era returns the newest known era of the store.
	Era() uint64
}

// Peers is what this host knows of itself and the others.
type Peers interface {
	// ReadsStore reports whether this host reads the store for others.
	ReadsStore() bool
	// Evidence returns the latest reports on responses, by origin.
	Evidence() map[string]canary.Report
	// Progress returns what hosts report on the roll-out of a service.
	Progress(service string) map[string]rollout.Progress
	// Versions returns the number of the service's registered servers by software version.
	Versions(service string) map[string]int
	// UsualDuration returns how long runs of the service usually take.
	UsualDuration(service string) time.Duration
	// Notify tells the other hosts at once what this one knows.
	Notify()
}

// Host is the host that a Driver runs on.
type Host struct {
	Name   string
	Limits rollout.Limits
	Table  *rollout.Table
	Store  Store
	Peers  Peers
	// Uptime reads a clock that keeps running while the host is suspended.
	Uptime func() time.Duration
	Log    func(event string, fields map[string]any)
}

// Driver drives the roll-outs of which its host becomes the driver. It is used by one goroutine.
type Driver struct {
	Host
	services map[string]*service
	wake     chan struct{} // a call to the store has ended
}

// New returns a Driver that drives nothing yet.
func New(h Host) *Driver {
	return &Driver{Host: h, services: make(map[string]*service), wake: make(chan struct{}, 1)}
}

// Run drives roll-outs until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-d.wake:
		}
		d.tick(ctx)
	}
}

// tick takes the next step of each roll-out.
func (d *Driver) tick(ctx context.Context) {
	now := d.Uptime()
	orders := make(map[string]rollout.Order)
	for _, o := range d.Table.Orders() {
		orders[o.Service] = o
		d.add(o.Service)
	}
	for _, a := range d.Table.States(now) {
		d.add(a.State.Service)
	}
	if len(d.services) == 0 {
		return
	}
	evidence := d.Peers.Evidence()
	for name, s := range d.services {
		o, ordered := orders[name]
		s.collect(evidence, o, now)
		s.step(ctx, o, ordered)
	}
}

func (d *Driver) add(name string) {
	if d.services[name] == nil {
		d.services[name] = &service{d: d, name: name, done: make(chan func(), 1)}
	}
}

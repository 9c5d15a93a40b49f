package fleet

import (
	"sync"
	"time"
)

const (
	// outageWindow is in which time servers of a data centre have to be lost to be
	// taken for an outage of it, and outageLeast and outagePart how many.
	outageWindow = time.Second
	outageLeast  = 2
	outagePart   = 0.25
	// outageKept is how long after the last such loss the servers there that were not
	// heard of are stayed away from: those that crashed take 1.2 s and more to come
	// back, and each of them that is tried costs a request up to 400 ms.
	outageKept = 2 * time.Second
	// outageCost puts the servers of a data centre in an outage behind those of
	// others, but for those that were heard of within aliveWindow.
	outageCost  = 20 * time.Second
	aliveWindow = 250 * time.Millisecond
)

// outages notes which servers were lost lately, by data centre and service.
type outages struct {
	mu    sync.Mutex
	lost  map[outageKey]map[string]time.Time
	until map[outageKey]time.Time
}

type outageKey struct{ service, dataCentre string }

// add notes a lost server.
func (o *outages) add(k outageKey, id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost == nil {
		o.lost = make(map[outageKey]map[string]time.Time)
	}
	all := o.lost[k]
	if all == nil {
		all = make(map[string]time.Time)
		o.lost[k] = all
	}
	all[id] = now
}

// count returns how many servers were lost within the window.
func (o *outages) count(k outageKey, now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for id, at := range o.lost[k] {
		if now.Sub(at) > outageWindow {
			delete(o.lost[k], id)
			continue
		}
		n++
	}
	return n
}

// outage tells whether so many of a data centre's servers were lost at once that the
// others there are likely lost too.
func (f *Fleet) outage(k outageKey, members int, now time.Time) bool {
	n := f.outages.count(k, now)
	return f.outages.lasts(k, n >= outageLeast && float64(n) >= outagePart*float64(members), now)
}

// lasts notes that there is an outage, and tells whether there was one a moment ago.
func (o *outages) lasts(k outageKey, is bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = make(map[outageKey]time.Time)
	}
	if is {
		o.until[k] = now.Add(outageKept)
	}
	return now.Before(o.until[k])
}

// AloneLost tells whether a server was lost while the others of its data centre stayed:
// its loss may have to do with what it ran.
func (f *Fleet) AloneLost(m *Member, now time.Time) bool {
	return f.outages.count(outageKey{m.service(), m.DataCentre()}, now) <= 1
}

// Lost notes that a server could not be reached, or that its connection ended under
// a request. One that stays away is lost once.
func (f *Fleet) Lost(m *Member, now time.Time) {
	if !m.unreachable(now) {
		return
	}
	f.outages.add(outageKey{m.service(), m.DataCentre()}, m.ID(), now)
}

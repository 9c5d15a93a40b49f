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
	// lossesTold is how long a node tells others that it lost a server.
	lossesTold = 600 * time.Millisecond
)

type outageKey struct{ service, dataCentre string }

type loss struct {
	at  time.Time
	own bool // this node found the server lost
}

// outages notes which servers were lost lately, by data centre and service.
type outages struct {
	mu    sync.Mutex
	lost  map[outageKey]map[string]loss
	until map[outageKey]time.Time
}

// add notes a lost server. It tells whether that is news.
func (o *outages) add(k outageKey, id string, l loss) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost == nil {
		o.lost = make(map[outageKey]map[string]loss)
	}
	all := o.lost[k]
	if all == nil {
		all = make(map[string]loss)
		o.lost[k] = all
	}
	before, known := all[id]
	if known && !l.at.After(before.at) {
		return false
	}
	all[id] = l
	return !known || l.at.Sub(before.at) > outageWindow
}

// count returns how many servers were lost within the window.
func (o *outages) count(k outageKey, now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for id, l := range o.lost[k] {
		if now.Sub(l.at) > outageWindow {
			delete(o.lost[k], id)
			continue
		}
		n++
	}
	return n
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

// told returns the losses that this node found itself, if they are of one data
// centre: a node that loses servers of several may have lost its own links.
func (o *outages) told(now time.Time) map[string]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[string]time.Duration)
	places := make(map[string]bool)
	for k, lost := range o.lost {
		for id, l := range lost {
			if !l.own || now.Sub(l.at) > lossesTold {
				continue
			}
			all[id] = now.Sub(l.at)
			places[k.dataCentre] = true
		}
	}
	if len(places) > 1 {
		clear(all)
	}
	return all
}

// outage tells whether so many of a data centre's servers were lost at once that the
// others there are likely lost too.
func (f *Fleet) outage(k outageKey, members int, now time.Time) bool {
	n := f.outages.count(k, now)
	return f.outages.lasts(k, n >= outageLeast && float64(n) >= outagePart*float64(members), now)
}

// AloneLost tells whether a server was lost while the others of its data centre stayed:
// its loss may have to do with what it ran.
func (f *Fleet) AloneLost(m *Member, now time.Time) bool {
	return f.outages.count(outageKey{m.service(), m.DataCentre()}, now) <= 1
}

// Lost notes that a server could not be reached, or that its connection ended under
// a request. One that stays away is lost once. It tells whether the loss is news.
func (f *Fleet) Lost(m *Member, now time.Time) bool {
	if !m.unreachable(now) {
		return false
	}
	return f.outages.add(outageKey{m.service(), m.DataCentre()}, m.ID(), loss{at: now, own: true})
}

// Losses returns how long ago this node lost servers, by their ids, for other nodes.
func (f *Fleet) Losses(now time.Time) map[string]time.Duration { return f.outages.told(now) }

// HeardLost takes the losses of another node. It returns the servers whose loss is
// news. Servers that this node has heard of since are not lost.
func (f *Fleet) HeardLost(losses map[string]time.Duration, now time.Time) []*Member {
	if len(losses) == 0 {
		return nil
	}
	var news []*Member
	for id, age := range losses {
		m := f.Find(id, now)
		at := now.Add(-age)
		if m == nil || m.heardSince(at) {
			continue
		}
		if f.outages.add(outageKey{m.service(), m.DataCentre()}, id, loss{at: at}) {
			news = append(news, m)
		}
	}
	return news
}

package fleet

import (
	"strings"
	"sync"
	"time"
)

const (
	// A data centre is in an outage if at least outageMinServers of its servers, and at
	// least the share outageMinShare of them, were lost within outageWindow.
	outageWindow     = time.Second
	outageMinServers = 2
	outageMinShare   = 0.25
	// outageHold is how long after the last detection of an outage the data centre's
	// servers are avoided, unless they were contacted recently. Servers that crashed
	// take 1.2 s or more to restart, and each attempt on one of them delays a request by
	// up to 400 ms.
	outageHold = 2 * time.Second
	// outagePenalty ranks the servers of a data centre in an outage behind those of
	// other data centres, except servers that were contacted within recentContactWindow.
	outagePenalty       = 20 * time.Second
	recentContactWindow = 250 * time.Millisecond
	// lostTogetherWindow is the time between the losses of two servers that may have one cause.
	lostTogetherWindow = 500 * time.Millisecond
	// lossReportWindow is how long a node reports a lost server to other nodes.
	lossReportWindow = 600 * time.Millisecond
)

type outageKey struct{ service, dataCentre string }

type loss struct {
	at  time.Time
	own bool // detected by this node
}

// outages records recently lost servers by service and data centre.
type outages struct {
	mu    sync.Mutex
	lost  map[outageKey]map[string]loss
	until map[outageKey]time.Time
}

// record records a lost server. It reports whether the loss is new: the first of this
// server, or more than outageWindow after the previous one.
func (o *outages) record(k outageKey, id string, l loss) bool {
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

// lostWith returns the servers other than the given one that were lost within lostTogetherWindow
// of a time.
func (o *outages) lostWith(k outageKey, id string, at time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []string
	for other, l := range o.lost[k] {
		if other != id && l.at.Sub(at).Abs() <= lostTogetherWindow {
			all = append(all, other)
		}
	}
	return all
}

// count returns the number of servers lost within outageWindow.
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

// update extends the outage if one was detected, and reports whether the data centre is
// in an outage or was within outageHold.
func (o *outages) update(k outageKey, detected bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.until == nil {
		o.until = make(map[outageKey]time.Time)
	}
	if detected {
		o.until[k] = now.Add(outageHold)
	}
	return now.Before(o.until[k])
}

// ownLosses returns the losses that this node detected, if all are in one data centre. A
// node that loses servers in several data centres may have lost its own network links.
func (o *outages) ownLosses(now time.Time) map[string]time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make(map[string]time.Duration)
	dataCentres := make(map[string]bool)
	for k, lost := range o.lost {
		for id, l := range lost {
			if !l.own || now.Sub(l.at) > lossReportWindow {
				continue
			}
			all[id] = now.Sub(l.at)
			dataCentres[k.dataCentre] = true
		}
	}
	if len(dataCentres) > 1 {
		clear(all)
	}
	return all
}

// inOutage reports whether so many servers of a data centre were lost within a short
// time that the remaining ones are probably lost too.
func (f *Fleet) inOutage(k outageKey, members int, now time.Time) bool {
	n := f.outages.count(k, now)
	return f.outages.update(k, n >= outageMinServers && float64(n) >= outageMinShare*float64(members), now)
}

// LostWith returns the incarnations of the other servers of the service and data centre of a
// server that was lost at a time, that were lost within lostTogetherWindow of it. Losses are
// kept for little longer than that.
func (f *Fleet) LostWith(m *Member, at time.Time) []string {
	var all []string
	for _, id := range f.outages.lostWith(outageKey{m.Service(), m.DataCentre()}, m.ID(), at) {
		if x := f.Find(id); x != nil {
			all = append(all, x.Incarnation())
		}
	}
	return all
}

// ContactedSince reports whether an incarnation of a server sent this node anything after t.
func (f *Fleet) ContactedSince(incarnation string, t time.Time) bool {
	id := incarnation[:max(0, strings.LastIndexByte(incarnation, incarnationSeparator))]
	m := f.Find(id)
	return m != nil && m.Incarnation() == incarnation && m.ContactedSince(t) && !m.Superseded(time.Now())
}

// RecordLoss records that a server could not be reached, or that its connection broke during a
// request. Repeated failures of an unreachable server count as one loss. It reports
// whether the loss is new.
func (f *Fleet) RecordLoss(m *Member, now time.Time) bool {
	if !m.markUnreachable(now) {
		return false
	}
	return f.outages.record(outageKey{m.Service(), m.DataCentre()}, m.ID(), loss{at: now, own: true})
}

// RecentLosses returns the age of each recent loss detected by this node, by server ID, for
// other nodes.
func (f *Fleet) RecentLosses(now time.Time) map[string]time.Duration { return f.outages.ownLosses(now) }

// MergeLosses merges the losses reported by another node and returns the servers whose
// loss is new. It ignores servers that were in contact with this node after the reported
// loss.
func (f *Fleet) MergeLosses(losses map[string]time.Duration, now time.Time) []*Member {
	if len(losses) == 0 {
		return nil
	}
	var added []*Member
	for id, age := range losses {
		m := f.Find(id)
		at := now.Add(-age)
		if m == nil || !m.Remains(now) || m.ContactedSince(at) {
			continue
		}
		m.recordPeerLoss(at)
		if f.outages.record(outageKey{m.Service(), m.DataCentre()}, id, loss{at: at}) {
			added = append(added, m)
		}
	}
	return added
}

package canary

import (
	"maps"
	"sync"
	"time"
)

const (
	// windowMS is the length of a window.
	windowMS = 1000
	// reportWindows is the number of windows that are reported in any case.
	reportWindows = 6
	// tailMS is how long a change of an older window is reported: several reports, of which some
	// may be lost.
	tailMS = 4000
	// retentionWindows is for how many windows requests may still get their outcome: longer than the
	// deadlines of streams.
	retentionWindows = 30
)

// Recorder counts requests on a host. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	orderID uint64
	windows map[int64]*window
}

type window struct {
	cells     map[Stratum]*Counts
	changed   bool
	changedMS int64 // time of the report that had the last change first
}

// Attempt is a request that is being counted. Methods of a nil Attempt do nothing.
type Attempt struct {
	recorder  *Recorder
	window    *window
	cell      *Counts
	responded bool
	ended     bool
}

// NewRecorder returns a Recorder that watches no service.
func NewRecorder() *Recorder { return &Recorder{services: make(map[string]*service)} }

// Watch sets the services with an order, with the orders' IDs. Requests of others aren't counted.
func (r *Recorder) Watch(orders map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		if orders[name] != s.orderID {
			delete(r.services, name)
		}
	}
	for name, id := range orders {
		if r.services[name] == nil {
			r.services[name] = &service{orderID: id, windows: make(map[int64]*window)}
		}
	}
}

// Begin counts a request that is sent at a time of the store's clock.
func (r *Recorder) Begin(q Request, nowMS int64) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[q.Service]
	if s == nil {
		return nil
	}
	i := nowMS / windowMS
	w := s.windows[i]
	if w == nil {
		w = &window{cells: make(map[Stratum]*Counts)}
		s.windows[i] = w
		for j := range s.windows {
			if j <= i-retentionWindows {
				delete(s.windows, j)
			}
		}
	}
	x := Stratum{Route: q.Route, DataCentre: q.DataCentre}
	if q.New {
		x.Server = q.Server
	}
	c := w.cells[x]
	if c == nil {
		c = &Counts{First: make(map[int]int), Gap: make(map[int]int)}
		w.cells[x] = c
	}
	c.Sent++
	w.changed = true
	return &Attempt{recorder: r, window: w, cell: c}
}

// Respond records the time to the response or, for a stream, to its first event, without the
// network's round trip to the server if that is known: the new servers may be farther away than
// the old ones. The time is 0 if it says nothing about the version, as the server had the prompt in
// its cache. Respond is not called for a failure.
func (a *Attempt) Respond(d time.Duration) {
	if a == nil {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.respond(d)
}

func (a *Attempt) respond(d time.Duration) {
	if a.responded || a.ended {
		return
	}
	a.responded, a.window.changed = true, true
	if d <= 0 {
		a.cell.Untimed++
		return
	}
	a.cell.First[bucket(d)]++
}

// End records the outcome. gap is the mean time between the events of a stream, 0 if it had too few.
func (a *Attempt) End(failed bool, gap time.Duration) {
	if a == nil {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	if a.ended {
		return
	}
	switch {
	case !failed:
		a.respond(0)
	case a.responded:
		a.cell.Failed++
	default:
		a.cell.Failed++
		a.cell.Lost++
	}
	if gap > 0 {
		a.cell.Gap[bucket(gap)]++
	}
	a.ended, a.window.changed = true, true
}

// Cancel records that the request ended without saying anything about the server. One that has
// had a response remains counted.
func (a *Attempt) Cancel() {
	if a == nil {
		return
	}
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if !a.responded {
		a.cell.Cancelled++
		a.window.changed = true
	}
}

// Report returns the windows that are recent or have changed recently.
func (r *Recorder) Report(nowMS int64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all Report
	for name, s := range r.services {
		x := ServiceReport{OrderID: s.orderID, AtMS: nowMS}
		for i, w := range s.windows {
			if w.changed {
				w.changed, w.changedMS = false, nowMS
			}
			if i <= nowMS/windowMS-reportWindows && nowMS-w.changedMS > tailMS {
				continue
			}
			if x.Windows == nil {
				x.Windows = make(map[int64]Window)
			}
			cells := make(Window, len(w.cells))
			for k, c := range w.cells {
				cells[k] = c.clone()
			}
			x.Windows[i] = cells
		}
		if all == nil {
			all = make(Report)
		}
		all[name] = x
	}
	return all
}

func (c Counts) clone() Counts {
	c.First, c.Gap = maps.Clone(c.First), maps.Clone(c.Gap)
	return c
}

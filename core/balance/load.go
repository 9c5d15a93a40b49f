package balance

import (
	"sync"
	"time"
)

// Report is a backend server's word about its load.
type Report struct {
	Server  string
	Running int
	Waiting int
	Leaving bool
	At      int64 // Unix time in milliseconds at which the server was asked
}

// reportTrust is the age at which a report tells by a factor of e less of other
// nodes' load than when it was new.
const reportTrust = 500 * time.Millisecond

// reportHalfLife is the age at which a report of other nodes' load counts half.
const reportHalfLife = 4 * time.Second

// load is what a node knows of one backend server.
type load struct {
	name string

	mu       sync.Mutex
	own      int
	suspects int
	report   Report
	reported time.Time
	ownThen  int
	downTill time.Time
	notices  map[Source]Notice
}

// estimate returns the number of requests that the server is thought to have,
// from the own requests in flight and the others' at the last report.
func (l *load) estimate(now time.Time) float64 {
	others := float64(l.report.Running + l.report.Waiting - l.ownThen)
	if others < 0 {
		others = 0
	}
	age := now.Sub(l.reported)
	if age > reportHalfLife {
		others = others * float64(reportHalfLife) / float64(age)
	}
	return float64(l.own) + others
}

// view is a server's load in parts of its slots.
type view struct {
	own    float64
	others float64
	age    time.Duration // of what is known of others
}

func (l *load) view(slots int, now time.Time) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := max(0, l.report.Running+l.report.Waiting-l.ownThen)
	return view{own: float64(l.own) / float64(slots), others: float64(others) / float64(slots), age: now.Sub(l.reported)}
}

func (l *load) isLeaving() bool {
	for _, n := range l.notices {
		if n.Leaving {
			return true
		}
	}
	return false
}

func (l *load) take(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At < l.report.At {
		return
	}
	l.report = r
	l.reported = now
	l.ownThen = l.own
	l.note(Notice{Server: l.name, Source: FromServer, Leaving: r.Leaving, At: r.At})
}

package balance

import (
	"sync"
	"time"
)

// Report is a backend server's report of its load.
type Report struct {
	Server  string
	Running int
	Waiting int
	Leaving bool
	At      int64 // time at which the server was polled, Unix time in milliseconds
}

// reportDecayTime is the time constant with which expectedLoads moves from a
// report's figure for other nodes' load to the mean: the weight of the report falls
// by a factor of e in this time.
const reportDecayTime = 500 * time.Millisecond

// reportFullWeightAge is the age up to which estimate counts other nodes' load in
// full. Beyond it, that load is scaled by reportFullWeightAge/age, so it counts
// half at twice this age.
const reportFullWeightAge = 4 * time.Second

// serverLoad is what this node knows about the load of one backend server.
type serverLoad struct {
	name string

	mu           sync.Mutex
	own          int
	suspectCount int
	report       Report
	reported     time.Time
	ownAtReport  int // this node's requests when the last report arrived
	downUntil    time.Time
	notices      map[Source]LeaveNotice
}

// estimate returns the estimated number of requests on the server: this node's
// requests in flight plus those of other nodes at the last report.
func (l *serverLoad) estimate(now time.Time) float64 {
	others := float64(l.report.Running + l.report.Waiting - l.ownAtReport)
	if others < 0 {
		others = 0
	}
	age := now.Sub(l.reported)
	if age > reportFullWeightAge {
		others = others * float64(reportFullWeightAge) / float64(age)
	}
	return float64(l.own) + others
}

// loadShares is a server's load as fractions of its slots.
type loadShares struct {
	own    float64       // from this node
	others float64       // from other nodes
	age    time.Duration // of the report that others is taken from
}

func (l *serverLoad) loadShares(slots int, now time.Time) loadShares {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := max(0, l.report.Running+l.report.Waiting-l.ownAtReport)
	return loadShares{own: float64(l.own) / float64(slots), others: float64(others) / float64(slots), age: now.Sub(l.reported)}
}

func (l *serverLoad) isLeaving() bool {
	for _, n := range l.notices {
		if n.Leaving {
			return true
		}
	}
	return false
}

func (l *serverLoad) applyReport(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At < l.report.At {
		return
	}
	l.report = r
	l.reported = now
	l.ownAtReport = l.own
	l.applyNotice(LeaveNotice{Server: l.name, Source: FromServer, Leaving: r.Leaving, At: r.At})
}

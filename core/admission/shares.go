package admission

import (
	"math"
	"time"
)

const (
	// shareTime is the time constant with which the use of an organisation is forgotten: about the
	// duration of two runs.
	shareTime = 10 * time.Second
	// shareFactor is how much more than an equal share an organisation may use while others ask too.
	shareFactor = 2
	// leastUse is the use, in requests, up to which an organisation is not held back: a host
	// sees a few requests in shareTime, of which two can be of one organisation by chance.
	leastUse = 3
	// checkInterval is the time between two checks of who has got more than its share.
	checkInterval = 100 * time.Millisecond
	// maxOrganisations limits the organisations that are remembered.
	maxOrganisations = 1024
)

// use is the decayed number of requests of an organisation, and of those that began.
type use struct {
	asked, begun float64
	at           time.Time
}

func (u use) decayed(now time.Time) use {
	f := math.Exp(-float64(now.Sub(u.at)) / float64(shareTime))
	return use{asked: u.asked * f, begun: u.begun * f, at: now}
}

// shares is the use that organisations make of a service through this host.
type shares struct {
	all     map[string]use
	over    map[string]bool // organisations that have got more than their share
	checkAt time.Time
}

func newShares() shares { return shares{all: make(map[string]use)} }

func (s *shares) arrived(r Request, now time.Time) {
	u, found := s.all[r.Organisation]
	if !found && len(s.all) >= maxOrganisations {
		return
	}
	u = u.decayed(now)
	u.asked++
	s.all[r.Organisation] = u
}

func (s *shares) started(r Request, now time.Time) {
	if u, found := s.all[r.Organisation]; found {
		u = u.decayed(now)
		u.begun++
		s.all[r.Organisation] = u
	}
}

// exceeded reports whether an organisation has got more than its share while others asked too.
func (s *shares) exceeded(organisation string, now time.Time) bool {
	if !now.Before(s.checkAt) {
		s.check(now)
		s.checkAt = now.Add(checkInterval)
	}
	return s.over[organisation]
}

func (s *shares) check(now time.Time) {
	total := 0.0
	for o, u := range s.all {
		if u = u.decayed(now); u.asked < 1/math.E {
			delete(s.all, o)
			continue
		}
		total += u.begun
	}
	s.over = nil
	for o, u := range s.all {
		if b := u.decayed(now).begun; len(s.all) > 1 && b >= leastUse && b > shareFactor*total/float64(len(s.all)) {
			if s.over == nil {
				s.over = make(map[string]bool)
			}
			s.over[o] = true
		}
	}
}

// others returns how many requests of other organisations arrive at all hosts while reports
// are on their way.
func (s *shares) others(organisation string, now time.Time, hosts int) int {
	n := 0.0
	for o, u := range s.all {
		if o != organisation {
			n += u.decayed(now).asked
		}
	}
	return int(n * float64(hosts) * reportAge.Seconds() / shareTime.Seconds())
}

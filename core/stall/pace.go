package stall

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// halfLife is the time after which what was seen of a server counts half.
	halfLife = time.Second
	// memory is the time since its last event for which a server is known.
	memory = 4 * time.Second
	// longShare is the share of a server's time in long silences from which on they are its pace.
	longShare = 0.2
	// usualMargin and minMargin are how much longer than the pace of the other servers a silence may
	// last: usually, and at least if the pause is to meet its goal.
	usualMargin = 1.5
	minMargin   = 1.25
)

// LongSilence is the least accepted time of silence.
const LongSilence = 400 * time.Millisecond

// Bounds limit the accepted time of silence.
type Bounds struct {
	Max time.Duration
	// Goal is the limit that should not be exceeded for the sake of callers while servers at their
	// present pace keep it. It is 0 if there is none.
	Goal time.Duration
}

// Paces holds the paces of services by name. The zero Paces knows of no service.
type Paces struct {
	mu       sync.Mutex
	services map[string]*Pace
}

// Of returns the pace of a service.
func (p *Paces) Of(service string) *Pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = make(map[string]*Pace)
	}
	x := p.services[service]
	if x == nil {
		x = &Pace{servers: make(map[string]*serverPace)}
		p.services[service] = x
	}
	return x
}

// Pace knows how long the servers of a service were silent between events of their runs in the last
// seconds. The pace of a server is the length of the long silence that a moment falls into on average,
// or 0 if few moments fall into one, so that neither many short silences hide the long ones nor a
// single long one counts. A silence counts while it lasts.
type Pace struct {
	mu      sync.Mutex
	servers map[string]*serverPace // by server ID
}

// serverPace is what is known of a server.
type serverPace struct {
	lastEvent time.Time
	asOf      time.Time // of the sums
	seconds   float64   // sum of the silences
	long      float64   // sum of the long ones
	squares   float64   // sum of the squares of the long ones
}

// RecordEvent records an event of a run at a server. begun is not set if it is the first one of its
// run, before which the server processed the prompt. It is to be called before w.Received.
func (p *Pace) RecordEvent(server string, w *Watch, begun bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		p.expire(now)
		s = &serverPace{asOf: now}
		p.servers[server] = s
	}
	s.lastEvent = now
	if begun {
		s.add(w, now)
	}
}

// RecordSilence records that a server of which a run has begun is still silent.
func (p *Pace) RecordSilence(server string, w *Watch, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.add(w, now)
	}
}

// Limit returns the accepted time of silence of a server, where target, if known, is the server that
// the run would move to. It follows from the target's pace, or else from that of the service's other
// servers. It does not rise while more than half of these are fast.
func (p *Pace) Limit(server, target string, b Bounds, now time.Time) time.Duration {
	pace := p.expected(server, target, now)
	limit := time.Duration(usualMargin * pace * float64(time.Second))
	if float64(b.Goal) >= minMargin*pace*float64(time.Second) && b.Goal > 0 {
		limit = min(limit, b.Goal)
	}
	return min(max(limit, LongSilence), b.Max)
}

// expected returns the pace, in seconds, that a run would find if it left a server: the target's, but
// at most the upper median of all others, or else their lower median. It is 0 if they are fast or not
// known.
func (p *Pace) expected(server, target string, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]float64, 0, len(p.servers))
	for id, s := range p.servers {
		if id != server && s.known(now) {
			all = append(all, s.pace())
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	if t := p.servers[target]; t != nil && t.known(now) {
		return min(t.pace(), all[len(all)/2])
	}
	return all[(len(all)-1)/2]
}

// expire removes servers that are no longer known.
func (p *Pace) expire(now time.Time) {
	for id, s := range p.servers {
		if s.expired(now) {
			delete(p.servers, id)
		}
	}
}

func (s *serverPace) expired(now time.Time) bool { return !now.Before(s.lastEvent.Add(memory)) }

func (s *serverPace) known(now time.Time) bool { return s.seconds > 0 && !s.expired(now) }

// add adds the part of a silence that was not counted yet.
func (s *serverPace) add(w *Watch, now time.Time) {
	if d := now.Sub(s.asOf); d > 0 {
		f := math.Exp2(-d.Seconds() / halfLife.Seconds())
		s.seconds *= f
		s.long *= f
		s.squares *= f
		s.asOf = now
	}
	from, to := w.count(now)
	s.seconds += to - from
	if to < LongSilence.Seconds() {
		return
	}
	if from < LongSilence.Seconds() {
		from = 0
	}
	s.long += to - from
	s.squares += to*to - from*from
}

// pace returns the server's pace in seconds.
func (s *serverPace) pace() float64 {
	if s.long <= longShare*s.seconds {
		return 0
	}
	return s.squares / s.long
}

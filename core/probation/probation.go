// Package probation decides when requests that are suspected to crash servers run, and what the
// outcome tells.
//
// What is suspected runs as a trial: one request at a time, on one server. Requests that are not
// the trial wait. A trial that runs well ends the probation: its owner drops the suspicion. A crash
// convicts, unless nearly all requests of a service are suspected: a crash then tells little, as
// other requests on the server may have caused it, and a conviction would take the service out of
// use. Such a suspicion is tried again after a pause instead, which grows with each crash.
//
// The pauses bound both sides. A wrong suspicion delays requests until the first trial has run well.
// A true one gets a trial per pause.
//
// # Usage
//
//	p := probation.New(now)
//	if p.BlockedUntil(now).IsZero() {
//		p.Begin(now) // and send the request
//	}
//	if p.Crashed(explained, now) { ... convicted: refuse the requests from now on ... }
package probation

import (
	"math/rand/v2"
	"time"
)

const (
	// settleTime is the time before a trial in which the ends of servers become known under requests
	// that were sent before the suspicion.
	settleTime = 1100 * time.Millisecond
	// settleSpread is the time over which nodes that suspect the same begin their trials, so that
	// the others hear of the first one before they begin theirs.
	settleSpread = 800 * time.Millisecond
	// trialTimeout is how long the outcome of a trial is awaited.
	trialTimeout = 10 * time.Second
	// peerTrialLease is how long a node that has reported a trial is taken to await its outcome.
	peerTrialLease = 1500 * time.Millisecond
	// leaseSpread is the time over which nodes begin trials after such a lease, which ends at the same
	// moment on all of them.
	leaseSpread = 500 * time.Millisecond
	// crashNotice is how long after a trial broke off its server's crash may become known.
	crashNotice = 1500 * time.Millisecond
	// firstPause is the pause after a trial that ended in a crash that does not convict. Each
	// further one is pauseFactor times as long, up to maxPause.
	firstPause  = 10 * time.Second
	pauseFactor = 8
	maxPause    = time.Hour
	// nearlyAll is the share of the requests from which nearly all are suspected.
	nearlyAll = 0.8
)

// Probation is the state of one suspicion. It is not safe for concurrent use.
type Probation struct {
	opensAt      time.Time     // when the next trial may begin
	claimedUntil time.Time     // until when the outcome of a trial is awaited
	leaseSpread  time.Duration // by which this node awaits trials of others for longer
	crashes      int           // of trials, that did not convict
	suspected    int           // requests
	others       int           // of the same kind
}

// New returns the probation of a suspicion that arose at a time.
func New(now time.Time) *Probation {
	p := &Probation{leaseSpread: rand.N(leaseSpread)}
	p.Restart(now)
	return p
}

// Restart delays the next trial, as at the beginning. It is to be called if the suspicion changes, or after
// a crash. A trial whose outcome is awaited goes on; see Release.
func (p *Probation) Restart(now time.Time) { p.opensAt = now.Add(settleTime + rand.N(settleSpread)) }

// Release records that the outcome of a trial is known, and not awaited any more.
func (p *Probation) Release() { p.claimedUntil = time.Time{} }

// OpensAt returns when the next trial may begin if none is awaited.
func (p *Probation) OpensAt() time.Time { return p.opensAt }

// BlockedUntil returns until when no request may begin a trial, or the zero time if one may.
func (p *Probation) BlockedUntil(now time.Time) time.Time {
	until := p.opensAt
	if p.claimedUntil.After(until) {
		until = p.claimedUntil
	}
	if now.Before(until) {
		return until
	}
	return time.Time{}
}

// Begin records that a trial begins. It returns until when its outcome is awaited.
func (p *Probation) Begin(now time.Time) time.Time {
	p.claimedUntil = now.Add(trialTimeout)
	return p.claimedUntil
}

// BegunElsewhere records that another node awaits the outcome of a trial. It is to be called
// again while that node does.
func (p *Probation) BegunElsewhere(now time.Time) {
	if until := now.Add(peerTrialLease + p.leaseSpread); until.After(p.claimedUntil) {
		p.claimedUntil = until
	}
}

// Postpone delays the next trial until a time.
func (p *Probation) Postpone(until time.Time) { p.opensAt = until.Add(rand.N(settleSpread)) }

// Crashes returns the number of trials that ended in a crash, counting pauses only.
func (p *Probation) Crashes() int { return p.crashes }

// CrashedElsewhere records that trials of other nodes have ended in crashes, after which the next
// one may begin at a time.
func (p *Probation) CrashedElsewhere(crashes int, opensAt time.Time) {
	if crashes > p.crashes {
		p.crashes = crashes
		p.Postpone(opensAt)
	}
}

// End records that a trial has ended without telling anything. sent is set if its server may still
// turn out to have crashed. It returns until when that is awaited. If there was no server to send it
// to, the nodes find one again at the same moment, so that their next trials are spread.
func (p *Probation) End(sent bool, now time.Time) time.Time {
	p.claimedUntil = now.Add(rand.N(settleSpread))
	if sent {
		p.claimedUntil = now.Add(crashNotice)
	}
	return p.claimedUntil
}

// Count counts a request, one of those under suspicion or another one of the same kind.
func (p *Probation) Count(suspected bool) {
	if suspected {
		p.suspected++
		return
	}
	p.others++
}

// Broad reports whether nearly all requests that were counted are suspected.
func (p *Probation) Broad() bool {
	return float64(p.suspected) >= nearlyAll*float64(p.suspected+p.others)
}

// Crashed records that a server has crashed under a request that is suspected. explained is set if a
// narrower suspicion may explain the crash. It reports whether the crash convicts. If it doesn't, a trial
// that is awaited goes on; see Release.
func (p *Probation) Crashed(explained bool, now time.Time) bool {
	switch {
	case explained:
		p.Restart(now)
	case p.Broad():
		p.Postpone(now.Add(p.pause()))
		p.crashes++
	default:
		return true
	}
	return false
}

func (p *Probation) pause() time.Duration {
	d := firstPause
	for range p.crashes {
		if d = d * pauseFactor; d >= maxPause {
			return maxPause
		}
	}
	return d
}

package relay

import (
	"time"

	"cicadabeam/core/crashcause"
)

const (
	// maxTrialWait limits the time that a request waits for the outcome of another one's trial, and
	// trialWaitShare the share of the time until its deadline.
	maxTrialWait   = 5 * time.Second
	trialWaitShare = 0.25
)

// check is a method of crashcause.List that reports whether a request is refused.
type check func(r crashcause.Request, now time.Time) (crashcause.Refusal, bool)

// awaitTrial checks whether a request is refused because of a known cause of crashes. If the cause is
// only suspected, it waits for some time for the outcome of the trial, and checks again.
func (d *crashDetector) awaitTrial(x *exchange, check, again check) (crashcause.Refusal, bool) {
	now := time.Now()
	changed := d.causes.Changed()
	refusal, refused := check(x.features, now)
	defer func() {
		if !refused && d.causes.OnTrial(x.features) {
			d.h.Recorder.Record("crash trial", Fields{"request": x.meta.ID})
			d.h.NotifyPeers()
		}
	}()
	if !refused || !refusal.Suspected {
		return refusal, refused
	}
	until := now.Add(min(maxTrialWait, time.Duration(trialWaitShare*float64(x.deadline.Sub(now)))))
	d.h.Recorder.Record("awaits crash trial", Fields{"request": x.meta.ID, "ms": ms(until.Sub(now))})
	for refused && refusal.Suspected && now.Before(until) {
		if !d.awaitChange(x, changed, earliest(refusal.Until, until)) {
			return refusal, true
		}
		now = time.Now()
		changed = d.causes.Changed()
		refusal, refused = again(x.features, now)
	}
	return refusal, refused
}

// awaitChange waits for a change of the known causes, until a time at most. It returns false if the
// request has ended.
func (d *crashDetector) awaitChange(x *exchange, changed <-chan struct{}, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

// endTrial records that a request has ended, which may have been a trial.
func (d *crashDetector) endTrial(x *exchange) {
	d.causes.EndTrial(x.features, x.sentAttempts > 0, time.Now())
}

// Package model simulates entry hosts under load in virtual time. Engines prefill prompts
// one at a time and decode several runs at once, all engines of a data centre fail
// together, and nodes select engines with core/fleet from the information that they have.
//
// An engine has a queue of prompts, which it prefills in order at a constant rate. Its
// runs decode at a low rate while a prompt is prefilled and at a high rate otherwise. A
// run whose engine fails is resumed from its KV cache backup if that engine is up, or else
// its prompt is prefilled again.
//
// # Usage
//
//	r := model.Simulate(model.Scenario{Seed: 1, ...}, model.Policy{ExchangeWork: true, KVCacheBackups: true})
//	r.GoalRatio(), r.RepeatedPrefillTokens
package model

import "time"

const (
	tick = 10 * time.Millisecond
	// prefillRate is in prompt tokens per millisecond. decodeRate and
	// decodeRateDuringPrefill are in tokens per second and run.
	prefillRate             = 8.0
	decodeRate              = 236.0
	decodeRateDuringPrefill = 34.0
	// backupResumeDelay is the time to resume a run from its KV cache backup.
	backupResumeDelay = 100 * time.Millisecond
	// detectionDelay is the time until the loss of a run is detected.
	detectionDelay = 50 * time.Millisecond
)

// engine is a simulated model engine.
type engine struct {
	id         string
	dataCentre string
	downUntil  time.Time
	prefilling []*run // queue; only the first one is processed
	decoding   []*run
}

func (e *engine) isDown(now time.Time) bool { return now.Before(e.downUntil) }

// step advances the engine by one tick and returns the runs that finished.
func (e *engine) step(now time.Time) []*run {
	if e.isDown(now) {
		return nil
	}
	rate := decodeRate
	if len(e.prefilling) > 0 {
		rate = decodeRateDuringPrefill
		e.prefill(now)
	}
	var finished, remaining []*run
	for _, r := range e.decoding {
		r.generated += rate * tick.Seconds()
		r.lastToken = now
		if r.generated >= r.outputTokens {
			finished = append(finished, r)
			continue
		}
		remaining = append(remaining, r)
	}
	e.decoding = remaining
	return finished
}

func (e *engine) prefill(now time.Time) {
	r := e.prefilling[0]
	r.prefillLeft -= prefillRate * float64(tick.Milliseconds())
	if r.prefillLeft > 0 {
		return
	}
	e.prefilling = e.prefilling[1:]
	e.decoding = append(e.decoding, r)
	r.startDecoding(now)
}

// fail takes the engine down for d and returns the runs that are lost.
func (e *engine) fail(now time.Time, d time.Duration) []*run {
	lost := append(e.prefilling, e.decoding...)
	e.prefilling, e.decoding = nil, nil
	e.downUntil = now.Add(d)
	return lost
}

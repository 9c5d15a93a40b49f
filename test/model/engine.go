// Package model plays a load against the decisions of entry hosts in virtual time:
// engines that read prompts in turn and generate for several runs at once, data centres
// that die together, and nodes that choose engines by core/fleet from what they know.
//
// An engine is a queue of prompts, read one after the other at a rate, and runs that
// get their tokens slowly while a prompt is read and fast otherwise. A run whose
// engine dies goes on from its copy if that lives, or reads its prompt again.
//
// # Usage
//
//	r := model.Play(model.Load{Seed: 1, ...}, model.Policy{Tell: true, Copies: true})
//	r.InGoal(), r.ReadInVain
package model

import "time"

const (
	tick = 10 * time.Millisecond
	// readRate is in prompt tokens a millisecond, fastRate and slowRate in tokens of a
	// run a second, while no prompt is read and while one is.
	readRate = 8.0
	fastRate = 236.0
	slowRate = 34.0
	// copyTime is how long a copy takes to go on.
	copyTime = 100 * time.Millisecond
	// noticeTime is how long a loss goes unnoticed.
	noticeTime = 50 * time.Millisecond
)

// engine is a model engine.
type engine struct {
	id         string
	dataCentre string
	downTill   time.Time
	reading    []*run // the first one's prompt is read
	running    []*run
}

func (e *engine) down(now time.Time) bool { return now.Before(e.downTill) }

// step lets one tick pass and returns the runs that ended.
func (e *engine) step(now time.Time) []*run {
	if e.down(now) {
		return nil
	}
	rate := fastRate
	if len(e.reading) > 0 {
		rate = slowRate
		e.read(now)
	}
	var ended, left []*run
	for _, r := range e.running {
		r.made += rate * tick.Seconds()
		r.lastToken = now
		if r.made >= r.output {
			ended = append(ended, r)
			continue
		}
		left = append(left, r)
	}
	e.running = left
	return ended
}

func (e *engine) read(now time.Time) {
	r := e.reading[0]
	r.toRead -= readRate * float64(tick.Milliseconds())
	if r.toRead > 0 {
		return
	}
	e.reading = e.reading[1:]
	e.running = append(e.running, r)
	r.begin(now)
}

// die loses all runs and returns them.
func (e *engine) die(now time.Time, d time.Duration) []*run {
	lost := append(e.reading, e.running...)
	e.reading, e.running = nil, nil
	e.downTill = now.Add(d)
	return lost
}

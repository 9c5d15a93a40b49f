// Package generation produces answers on engines that fail: it opens an attempt
// on a chosen server, and when that one dies or falls silent a further one that
// goes on after the text so far.
//
// # Usage
//
//	r := generation.New(engine, copier, loads, router, quarantined, observer)
//	go r.Run(ctx, generation.Job{...})
package generation

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/budget"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/route"
)

const (
	retryRatio      = 0.5
	retryBurst      = 512
	downAfterDeath  = 3 * time.Second
	downAfterRefuse = 300 * time.Millisecond
	retryPause      = 100 * time.Millisecond
	probeWait       = 300 * time.Millisecond
)

// Job is an answer to produce.
type Job struct {
	Answer       *answer.Answer
	Epoch        uint64
	Request      *completion.Request
	Service      config.Service
	Organisation config.Organisation
	Fingerprint  quarantine.Fingerprint
}

// Observer is told of what happens to attempts.
type Observer interface {
	AttemptStarted(j Job, server string, number int)
	AttemptEnded(j Job, server string, number int, err error)
	Resumed(j Job, server string, latency time.Duration)
	ServerDied(s quarantine.Suspicion)
	// RequestQuarantined is told of a request that is quarantined from now on. It returns
	// when the reachable nodes know.
	RequestQuarantined(f quarantine.Fingerprint)
	AnswerEnded(j Job, f answer.Finish)
}

// Runner produces answers.
type Runner struct {
	engine     Engine
	copier     Copier
	loads      *balance.Table
	router     *route.Router
	quarantine *quarantine.List
	observer   Observer
	budget     *budget.Budget
}

// New returns a runner.
func New(e Engine, c Copier, l *balance.Table, x *route.Router, q *quarantine.List, o Observer) *Runner {
	return &Runner{
		engine: e, copier: c, loads: l, router: x, quarantine: q, observer: o,
		budget: budget.New(retryRatio, retryBurst),
	}
}

// Budget returns the budget of repeated attempts.
func (r *Runner) Budget() *budget.Budget { return r.budget }

// run is the state of one Run.
type run struct {
	job       Job
	exclude   map[string]bool
	number    int
	fruitful  int // number of the last attempt that brought text
	made      int // tokens of the present attempt
	reached   bool
	lastHeard time.Time
	lost      time.Time
}

// Run produces the answer and ends it. It returns when the answer has ended,
// the node is no longer its holder, or ctx is done.
func (r *Runner) Run(ctx context.Context, j Job) {
	x := &run{job: j, exclude: make(map[string]bool), lastHeard: time.Now()}
	r.budget.Earn()
	for {
		if _, u, done := j.Answer.Progress(); done || j.Request.Exhausted(u.Completion) {
			r.end(j, answer.Finish{Reason: "length"})
			return
		}
		finish, err := r.attempt(ctx, x)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.end(j, finish)
			return
		}
		if f := r.giveUp(ctx, x, err); f != nil {
			r.end(j, Failed(f))
			return
		}
	}
}

// giveUp decides after a failed attempt whether the answer has failed.
func (r *Runner) giveUp(ctx context.Context, x *run, err error) *fault.Error {
	f := fault.From(err)
	if x.reached && f.Ran() == fault.NotRun {
		f = f.WithRan(fault.Unknown)
	}
	if x.lost.IsZero() {
		x.lost = x.lastHeard
	}
	switch {
	case r.quarantine.Quarantined(x.job.Fingerprint, time.Now()):
		return fault.Newf(fault.Quarantined, "generate", f.Peer(), "the request crashed the backend servers that ran it").WithRan(fault.DidRun)
	case isFinal(f):
		return f
	case x.number-x.fruitful >= x.job.Service.Attempts():
		return f
	}
	deadline := x.job.Service.QueueDeadline(time.Now())
	if r.spend(ctx, deadline) {
		return nil
	}
	return fault.New(fault.RetryBudget, "generate", f.Peer()).WithRan(f.Ran()).WithRetry(time.Now().Add(time.Second))
}

// spend waits until the budget allows a further attempt.
func (r *Runner) spend(ctx context.Context, deadline time.Time) bool {
	for !r.budget.Spend() {
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryPause):
		}
	}
	return true
}

func isFinal(f *fault.Error) bool {
	switch f.Code() {
	case fault.ServerRefused, fault.NoServer, fault.Superseded, fault.Overloaded:
		return true
	default:
		return false
	}
}

// Failed returns the end of an answer that failed.
func Failed(err error) answer.Finish {
	f := fault.From(err)
	x := answer.Finish{Reason: answer.Failed, Code: string(f.Code()), Message: f.Message(), Step: f.Step(), Peer: f.Peer(), Status: f.Status()}
	if !f.RetryAt().IsZero() {
		x.RetryAt = f.RetryAt().UnixMilli()
	}
	x.Ran = string(f.Ran())
	return x
}

func (r *Runner) end(j Job, f answer.Finish) {
	_, u, _ := j.Answer.Progress()
	if j.Answer.End(j.Epoch, f, u) {
		r.observer.AnswerEnded(j, f)
	}
	r.copier.Notify(j.Answer)
}

// reserve waits for a server.
func (r *Runner) reserve(ctx context.Context, x *run) (*route.Lease, error) {
	return r.router.Reserve(ctx, r.routeRequest(x))
}

// routeRequest describes the request to the router.
func (r *Runner) routeRequest(x *run) route.Request {
	pieces, _, _ := x.job.Answer.Progress()
	q := route.Request{
		Service:      x.job.Service,
		Organisation: x.job.Organisation,
		Prefix:       x.job.Request.PrefixKey(),
		Exclude:      r.exclude(x),
		Suspect:      r.quarantine.Suspected(x.job.Fingerprint),
		Begun:        pieces > 0 || x.number > 1,
	}
	if q.Suspect {
		q.Prefix = x.job.Fingerprint.String()
	}
	return q
}

// exclude names the server of the failed attempt and those that died under the
// request before.
func (r *Runner) exclude(x *run) map[string]bool {
	for _, s := range r.quarantine.Servers(x.job.Fingerprint) {
		x.exclude[s] = true
	}
	return x.exclude
}

// Package generation generates answers on unreliable inference engines. It opens a
// stream on one server and, if that server crashes or hangs, resumes the answer on
// another server after the text received so far.
//
// # Usage
//
//	r := generation.New(engine, replicator, loads, router, quarantined, crashDetector, observer)
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
	retryRatio = 0.5
	retryBurst = 512
	// downAfterCrash and downAfterBusy are how long a server gets no new work after
	// it crashed or hung, and after it was busy.
	downAfterCrash    = 3 * time.Second
	downAfterBusy     = 300 * time.Millisecond
	retryInterval     = 100 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
)

// Job is an answer to generate.
type Job struct {
	Answer       *answer.Answer
	Epoch        uint64
	Request      *completion.Request
	Service      config.Service
	Organisation config.Organisation
	Fingerprint  quarantine.Fingerprint
}

// Observer receives the events of attempts and answers.
type Observer interface {
	AttemptStarted(j Job, server string, number int)
	AttemptEnded(j Job, server string, number int, err error)
	AnswerResumed(j Job, server string, latency time.Duration)
	ServerDied(s quarantine.Suspicion)
	// RequestQuarantined is called when a request has been quarantined. It returns
	// after the reachable nodes have been informed.
	RequestQuarantined(f quarantine.Fingerprint)
	AnswerEnded(j Job, f answer.Finish)
}

// Runner generates answers.
type Runner struct {
	engine     Engine
	replicator Replicator
	loads      *balance.Table
	router     *route.Router
	quarantine *quarantine.List
	crashes    *CrashDetector
	observer   Observer
	budget     *budget.Budget
}

// New returns a runner.
func New(e Engine, r Replicator, l *balance.Table, x *route.Router, q *quarantine.List, d *CrashDetector, o Observer) *Runner {
	return &Runner{
		engine: e, replicator: r, loads: l, router: x, quarantine: q, crashes: d, observer: o,
		budget: budget.New(retryRatio, retryBurst),
	}
}

// RetryBudget returns the retry budget.
func (r *Runner) RetryBudget() *budget.Budget { return r.budget }

// runState is the state of one call of Run.
type runState struct {
	job            Job
	features       crashFeatures
	excluded       map[string]bool
	attempts       int // attempts so far, also the number of the current one
	lastProductive int // number of the last attempt that produced text
	attemptTokens  int // tokens produced by the current attempt
	attemptChunks  int // chunks with text of the current attempt
	firstChunkAt   time.Time
	established    bool // the current attempt does not count as starting any more
	serverCrashed  bool // a server crashed while running the request
	reachedServer  bool // an attempt reached a server or may have done so
	lastResult     time.Time
	interruptedAt  time.Time // when output was interrupted, zero if it is not
}

// attemptsUsedUp reports whether the service allows no further attempt.
func (x *runState) attemptsUsedUp() bool {
	return x.attempts-x.lastProductive >= x.job.Service.Attempts()
}

// Run generates the answer and marks it as ended. It returns when the answer has
// ended, the node is no longer its holder, or ctx is done.
func (r *Runner) Run(ctx context.Context, j Job) {
	x := &runState{job: j, excluded: make(map[string]bool), lastResult: time.Now()}
	x.features = newCrashFeatures(j.Service, j.Request.SharedMessages(), j.Fingerprint)
	r.budget.Deposit()
	for {
		if _, u, done := j.Answer.Progress(); done || j.Request.ReachedMaxTokens(u.Completion) {
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
		if f := r.retryOrFail(ctx, x, err); f != nil {
			r.end(j, FailedFinish(f))
			return
		}
	}
}

// retryOrFail decides what follows a failed attempt. It returns nil if there may be
// another attempt, after waiting for the retry budget, and otherwise the error with
// which the answer ends.
func (r *Runner) retryOrFail(ctx context.Context, x *runState, err error) *fault.Error {
	f := fault.From(err)
	if x.reachedServer && f.Ran() == fault.NotRun {
		f = f.WithRan(fault.RanUnknown)
	}
	if x.interruptedAt.IsZero() {
		x.interruptedAt = x.lastResult
	}
	switch {
	case r.quarantine.IsQuarantined(x.job.Fingerprint, time.Now()):
		return fault.Newf(fault.RequestQuarantined, "generate", f.Peer(), "the request crashed the backend servers that ran it").WithRan(fault.DidRun)
	case isTerminal(f):
		return f
	case x.attemptsUsedUp():
		return f
	}
	if e := r.crashes.checkAttempt(x.features, x.serverCrashed); e != nil {
		return e.WithRan(f.Ran())
	}
	deadline := x.job.Service.QueueDeadline(time.Now())
	if r.acquireRetry(ctx, deadline) {
		return nil
	}
	return fault.New(fault.RetryBudgetSpent, "generate", f.Peer()).WithRan(f.Ran()).WithRetryAt(time.Now().Add(time.Second))
}

// acquireRetry waits for the retry budget and reports whether it allowed another attempt
// before the deadline and the end of ctx.
func (r *Runner) acquireRetry(ctx context.Context, deadline time.Time) bool {
	for !r.budget.TryWithdraw() {
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryInterval):
		}
	}
	return true
}

// isTerminal reports whether f ends the answer without another attempt.
func isTerminal(f *fault.Error) bool {
	switch f.Code() {
	case fault.ServerRefused, fault.NoServer, fault.Superseded, fault.Overloaded, fault.PromptQuarantined:
		return true
	default:
		return false
	}
}

// FailedFinish returns the Finish of an answer that ended with err.
func FailedFinish(err error) answer.Finish {
	f := fault.From(err)
	x := answer.Finish{Reason: answer.ReasonFailed, Code: string(f.Code()), Message: f.Message(), Step: f.Step(), Peer: f.Peer(), Status: f.Status()}
	if !f.RetryAt().IsZero() {
		x.RetryAt = f.RetryAt().UnixMilli()
	}
	x.Ran = string(f.Ran())
	return x
}

// end marks the answer as ended and replicates its finish.
func (r *Runner) end(j Job, f answer.Finish) {
	_, u, _ := j.Answer.Progress()
	if j.Answer.End(j.Epoch, f, u) {
		r.observer.AnswerEnded(j, f)
	}
	r.replicator.Replicate(j.Answer)
}

// reserve waits for a slot on a server.
func (r *Runner) reserve(ctx context.Context, x *runState) (*route.Lease, error) {
	return r.router.Reserve(ctx, r.routeRequest(x))
}

// routeRequest returns the router's view of the request.
func (r *Runner) routeRequest(x *runState) route.Request {
	pieces, _, _ := x.job.Answer.Progress()
	q := route.Request{
		Service:      x.job.Service,
		Organisation: x.job.Organisation,
		Prefix:       x.job.Request.PrefixKey(),
		Exclude:      r.excludedServers(x),
		Suspect:      r.quarantine.IsSuspect(x.job.Fingerprint),
		Started:      pieces > 0 || x.attempts > 1,
	}
	if q.Suspect {
		q.Prefix = x.job.Fingerprint.String()
	}
	return q
}

// excludedServers returns the server of the last failed attempt and the servers that
// crashed while running the request.
func (r *Runner) excludedServers(x *runState) map[string]bool {
	for _, s := range r.quarantine.DeadServers(x.job.Fingerprint) {
		x.excluded[s] = true
	}
	return x.excluded
}

package relay

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/crashcause"
)

const (
	// evaluationSlack is the time for the evaluation of a crash itself.
	evaluationSlack = 50 * time.Millisecond
	// maxExpected limits the features of which evaluations are expected.
	maxExpected = 4096
)

// evaluations holds when servers may have ended under requests with a feature, until it is known
// whether they have, and why.
type evaluations struct {
	mu    sync.Mutex
	ended map[crashcause.Feature]time.Time
}

func (e *evaluations) expect(r crashcause.Request, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil || len(e.ended) > maxExpected {
		e.ended = make(map[crashcause.Feature]time.Time)
	}
	for _, f := range r.Features {
		e.ended[f] = at
	}
}

// expected returns the request with those of its features of which an evaluation is expected, those of
// them under which an end may not be recorded yet, and when the last evaluation is over.
func (e *evaluations) expected(r crashcause.Request, now time.Time) (x crashcause.Request, unrecorded []crashcause.Feature, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Class = r.Class
	for _, f := range r.Features {
		at, found := e.ended[f]
		over := at.Add(serverChecks[0] + evaluationDelay + evaluationSlack)
		switch {
		case !found:
			continue
		case !now.Before(over):
			delete(e.ended, f)
			continue
		case now.Before(at.Add(serverChecks[0])):
			unrecorded = append(unrecorded, f)
		}
		x.Features = append(x.Features, f)
		if over.After(until) {
			until = over
		}
	}
	return x, unrecorded, until
}

// awaitEvaluation waits until it is known whether requests like this one have just crashed a
// server, if one more crash may be enough to tell. Meanwhile it would crash another one.
func (d *crashDetector) awaitEvaluation(ctx context.Context, x *exchange) {
	now := time.Now()
	r, unrecorded, until := d.evaluations.expected(x.features, now)
	if len(r.Features) == 0 || !d.causes.Suspects(r, now, unrecorded...) {
		return
	}
	d.h.Recorder.Record("awaits crash evaluation", Fields{"request": x.meta.ID, "ms": ms(until.Sub(now))})
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// awaitRetry is awaitEvaluation before a request is sent again, which may then be a trial.
func (d *crashDetector) awaitRetry(x *exchange) {
	d.awaitEvaluation(x.ctx, x)
	d.awaitTrial(x, d.causes.RefusesRetry, d.causes.RefusesRetry)
}

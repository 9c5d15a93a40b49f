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

// evaluations holds until when it will be known whether requests with a feature have crashed a
// server.
type evaluations struct {
	mu    sync.Mutex
	until map[crashcause.Feature]time.Time
}

func (e *evaluations) expect(r crashcause.Request, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.until == nil || len(e.until) > maxExpected {
		e.until = make(map[crashcause.Feature]time.Time)
	}
	for _, f := range r.Features {
		e.until[f] = until
	}
}

// expected returns the request with those of its features of which an evaluation is expected, and
// when the last of these is over.
func (e *evaluations) expected(r crashcause.Request, now time.Time) (x crashcause.Request, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Class = r.Class
	for _, f := range r.Features {
		at, found := e.until[f]
		switch {
		case !found:
		case !now.Before(at):
			delete(e.until, f)
		default:
			x.Features = append(x.Features, f)
			if at.After(until) {
				until = at
			}
		}
	}
	return x, until
}

// awaitEvaluation waits until it is known whether requests like this one have just crashed a
// server, if one more crash may be enough to tell. Meanwhile it would crash another one.
func (d *crashDetector) awaitEvaluation(ctx context.Context, x *exchange) {
	now := time.Now()
	r, until := d.evaluations.expected(x.features, now)
	if len(r.Features) == 0 || !d.causes.Suspects(r, now) {
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

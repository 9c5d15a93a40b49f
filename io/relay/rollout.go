package relay

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/rollout/traffic"
)

// endRollout records what an attempt of a unary request says about its server's software.
func (x *exchange) endRollout(a *attempt, elapsed time.Duration, now time.Time) {
	failed := a.status() >= http.StatusInternalServerError
	switch {
	case a.outcome == answered:
		if !failed {
			a.rollout.Respond(elapsed)
		}
		a.rollout.End(rolloutOutcome(failed), 0)
	case a.outcome == refused:
		a.rollout.End(rolloutOutcome(!a.member.Declines(now)), 0)
	case a.outcome != broken, pathLost(a.err), errors.Is(a.err, bytebudget.ErrSpent):
		a.rollout.End(traffic.Unknown, 0)
	case x.callerLeft(), errors.Is(a.err, os.ErrDeadlineExceeded) && !errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.endUnanswered(a.rollout, elapsed)
	default:
		a.rollout.End(traffic.Failed, 0)
	}
}

// endUnanswered records an attempt that ended before its server responded, because the caller left or
// another server was faster. It took at least the time until then.
func (x *exchange) endUnanswered(a *traffic.Attempt, elapsed time.Duration) {
	if x.route.LatencyGoal == 0 || elapsed < time.Duration(hedgeFraction*float64(x.route.LatencyGoal)) {
		a.End(traffic.Unknown, 0)
		return
	}
	a.Respond(elapsed)
	a.End(traffic.Sound, 0)
}

func rolloutOutcome(failed bool) traffic.Outcome {
	if failed {
		return traffic.Failed
	}
	return traffic.Sound
}

// timeToFirstEvent returns the time that the server took to process the prompt, 0 if it had the prompt
// or the KV cache of the run.
func (a *streamAttempt) timeToFirstEvent(now time.Time) time.Duration {
	if a.fromBackup() || a.query.CachedOn == a.member.ID() {
		return 0
	}
	return now.Sub(a.started)
}

// endRollout records what an attempt at a stream says about its server's software.
func (s *stream) endRollout(a *streamAttempt, now time.Time) {
	gap := time.Duration(0)
	if a.events >= soundEvents {
		gap = now.Sub(a.firstEventAt) / time.Duration(a.events)
	}
	switch {
	case a.outcome == answered:
		a.rollout.End(traffic.Sound, gap)
	case a.outcome == refused:
		a.rollout.End(rolloutOutcome(!a.fromBackup() && !a.member.Declines(now)), 0)
	case a.outcome != broken, pathLost(a.err), errors.IsAny(a.err, bytebudget.ErrSpent, errWentOn, errCutOff):
		a.rollout.End(traffic.Unknown, gap)
	case a.responseStarted && (s.callerLeft() || errors.Is(a.err, errMoved)):
		a.rollout.End(traffic.Sound, gap) // the gap shows for how long it was silent
	case s.callerLeft():
		s.endUnanswered(a.rollout, now.Sub(a.started))
	default:
		a.rollout.End(traffic.Failed, gap)
	}
}

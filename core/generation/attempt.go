package generation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/quarantine"
)

const (
	// crashReportWait is how long to wait for the other nodes to report the requests
	// that ran on a crashed server.
	crashReportWait = 250 * time.Millisecond
)

// readResult is the result of reading the next chunk of a stream.
type readResult struct {
	chunk Chunk
	err   error
}

// attempt makes one attempt. If the error is nil, the answer is complete and ends
// with the returned Finish.
func (r *Runner) attempt(ctx context.Context, x *runState) (answer.Finish, error) {
	x.attempts++
	x.attemptTokens, x.attemptChunks, x.established = 0, 0, false
	lease, err := r.reserve(ctx, x)
	if err != nil {
		return answer.Finish{}, err
	}
	defer lease.Release()
	if e := r.crashes.checkAttempt(x.features, x.serverCrashed); e != nil {
		return answer.Finish{}, e
	}
	s := lease.Server()
	r.observer.AttemptStarted(x.job, s.Name(), x.attempts)
	finish, err := r.stream(ctx, x, s)
	if err == nil || fault.From(err).Ran() != fault.NotRun {
		x.reachedServer = true
	}
	r.observer.AttemptEnded(x.job, s.Name(), x.attempts, err)
	if err != nil && ctx.Err() == nil {
		r.handleFailure(ctx, x, s, err)
	}
	if err == nil {
		r.crashes.recordSound(x.features.request)
	}
	return finish, err
}

// handleFailure handles an attempt that failed because of its server. A busy server is
// marked as down for a short time. A server that hangs or whose connection broke is
// excluded from the next attempt, and marked as down if it hangs or has crashed. Other
// errors have no effect.
func (r *Runner) handleFailure(ctx context.Context, x *runState, s config.Server, err error) {
	f := fault.From(err)
	now := time.Now()
	switch f.Code() {
	case fault.ServerBusy:
		r.loads.SetDown(s.Name(), now.Add(downAfterBusy))
		return
	case fault.ServerSilent:
		r.loads.SetDown(s.Name(), now.Add(downAfterCrash))
	case fault.ServerFailed:
		r.checkForCrash(ctx, x, s, f)
	default:
		return
	}
	clear(x.excluded)
	x.excluded[s.Name()] = true
}

// checkForCrash probes a server whose connection broke. If it crashed while running
// the request, the request becomes a suspect.
func (r *Runner) checkForCrash(ctx context.Context, x *runState, s config.Server, f *fault.Error) {
	now := time.Now()
	c, cancel := context.WithDeadline(ctx, now.Add(crashProbeTimeout))
	defer cancel()
	switch r.engine.Probe(c, s) {
	case Unreachable:
		r.loads.SetDown(s.Name(), now.Add(downAfterCrash))
		if f.Ran() == fault.NotRun {
			return // The server had already crashed before the attempt.
		}
		x.serverCrashed = true
		r.crashes.recordCrash(x.features, s.Name(), !x.established, now)
		d := quarantine.Suspicion{Fingerprint: x.job.Fingerprint, Server: s.Name(), Tokens: x.attemptTokens}
		shouldEvaluate := r.quarantine.RecordDeath(d, now)
		r.observer.ServerDied(d)
		if shouldEvaluate || r.crashes.suspects(x.features) {
			r.evaluateCrashes(ctx, x, shouldEvaluate)
		}
	case Unresponsive:
		r.loads.SetDown(s.Name(), now.Add(downAfterCrash))
	case Healthy:
	}
}

// evaluateCrashes waits for the crash reports of other nodes and quarantines the request if it,
// or a message that it shares with others, caused the crashes. Of a quarantined request the
// other nodes are informed before the caller gets the error, so that a retry through any of
// them is rejected.
func (r *Runner) evaluateCrashes(ctx context.Context, x *runState, wholeRequest bool) {
	t := time.NewTimer(crashReportWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	r.crashes.evaluate()
	if wholeRequest && r.quarantine.Evaluate(x.job.Fingerprint, time.Now()) {
		r.observer.RequestQuarantined(x.job.Fingerprint)
	}
}

// stream opens a stream that starts or resumes the answer and consumes it to its end.
func (r *Runner) stream(ctx context.Context, x *runState, s config.Server) (answer.Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, before, _ := x.job.Answer.Progress()
	body, err := x.job.Request.ResumeBody(x.job.Answer.Text(), before.Completion, x.job.Service.Priority())
	if err != nil {
		return answer.Finish{}, fault.Wrap(err, fault.Internal, "resume", s.Name()).WithRan(fault.NotRun)
	}
	header := x.job.Answer.Header()
	chunks := make(chan readResult)
	go r.readStream(ctx, s, Attempt{Request: header.ID, Path: header.Path, Body: body, Number: x.attempts}, chunks)
	return r.consume(ctx, x, s, chunks, before)
}

// readStream reads the engine's stream and sends each result to the channel, until
// an error, the end of the stream or the end of ctx.
func (r *Runner) readStream(ctx context.Context, s config.Server, a Attempt, to chan<- readResult) {
	stream, err := r.engine.OpenStream(ctx, s, a)
	if err != nil {
		sendResult(ctx, to, readResult{err: err})
		return
	}
	defer stream.Close()
	for {
		c, err := stream.Next()
		if !sendResult(ctx, to, readResult{chunk: c, err: err}) || err != nil {
			return
		}
	}
}

// sendResult sends a result to the channel and reports whether it did so before ctx was
// done.
func sendResult(ctx context.Context, to chan<- readResult, x readResult) bool {
	select {
	case to <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// consume appends the chunks to the answer and detects stalls with a watchdog.
func (r *Runner) consume(ctx context.Context, x *runState, s config.Server, chunks <-chan readResult, before answer.Usage) (answer.Finish, error) {
	w := newWatchdog()
	defer w.stop()
	defer func() { x.lastResult = w.lastResult }()
	finish := answer.Finish{}
	for {
		select {
		case <-ctx.Done():
			return finish, ctx.Err()
		case c := <-chunks:
			w.resultReceived(time.Now())
			if c.err != nil {
				return finish, streamEndError(c.err, finish, s)
			}
			if c.chunk.Finish != "" {
				finish.Reason = c.chunk.Finish
			}
			if err := r.appendChunk(x, s, c.chunk, before); err != nil {
				return finish, err
			}
		case <-w.timer.C:
			if w.expired() {
				return finish, fault.Wrap(errors.New("no chunk arrived before the stall timeout"), fault.ServerFailed, "generate", s.Name())
			}
			w.probe(ctx, func(c context.Context) Health { return r.engine.Probe(c, s) })
		case h := <-w.probeResult:
			if h == Healthy && !w.started && r.router.ShouldReroute(r.routeRequest(x), s.Name()) {
				return finish, fault.Wrap(errors.New("request is still in the server's queue and another server has a free slot"), fault.ServerBusy, "generate", s.Name())
			}
			if h == Healthy || h == Unresponsive && !r.mayMove(x, s) {
				w.resetTimer()
				continue
			}
			return finish, fault.Wrap(errors.New("stream stalled and the server's health probe failed"), probeFailureCode(h), "generate", s.Name())
		}
	}
}

// mayMove reports whether an answer whose server is silent could go on at another one at
// once. The silent server may still go on itself.
func (r *Runner) mayMove(x *runState, s config.Server) bool {
	return !x.attemptsUsedUp() && r.budget.Available() && r.router.HasAlternative(r.routeRequest(x), s.Name())
}

// streamEndError returns the error of an attempt whose stream ended with err. A stream
// with a finish reason is complete, even if its connection failed afterwards.
func streamEndError(err error, finish answer.Finish, s config.Server) error {
	if finish.Reason != "" {
		return nil
	}
	if errors.Is(err, ErrEndOfStream) {
		return fault.Wrap(errors.New("stream ended without a finish reason"), fault.ServerFailed, "generate", s.Name())
	}
	return err
}

// probeFailureCode returns the error code of an attempt whose server failed a health
// probe.
func probeFailureCode(h Health) fault.Code {
	if h == Unreachable {
		return fault.ServerFailed
	}
	return fault.ServerSilent
}

// appendChunk appends a chunk to the answer. The token counts of a chunk without
// text are recorded with the next text: text that has not arrived is generated
// again by the next attempt, so its tokens must not count yet.
func (r *Runner) appendChunk(x *runState, s config.Server, c Chunk, before answer.Usage) error {
	if c.Text == "" {
		return nil
	}
	u := answer.Usage{Prompt: before.Prompt, Completion: before.Completion + c.Completion}
	if u.Prompt == 0 {
		u.Prompt = c.Prompt
	}
	if !x.job.Answer.Append(x.job.Epoch, c.Text, u) {
		return fault.New(fault.Superseded, "generate", s.Name()).WithRan(fault.DidRun)
	}
	x.lastProductive = x.attempts
	x.attemptTokens = c.Completion
	r.recordEstablished(x, time.Now())
	if !x.interruptedAt.IsZero() {
		r.observer.AnswerResumed(x.job, s.Name(), time.Since(x.interruptedAt))
		x.interruptedAt = time.Time{}
	}
	r.replicator.Replicate(x.job.Answer)
	return nil
}

// recordEstablished counts a chunk with text and records once that the attempt is established.
func (r *Runner) recordEstablished(x *runState, now time.Time) {
	if x.attemptChunks++; x.attemptChunks == 1 {
		x.firstChunkAt = now
	}
	if x.established || x.attemptChunks < soundChunks || now.Sub(x.firstChunkAt) < soundTime {
		return
	}
	x.established = true
	r.crashes.recordSound(x.features.messagesOnly())
}

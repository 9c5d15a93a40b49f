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
	// evaluateWait is how long the other nodes have to tell what ran on a server that
	// died.
	evaluateWait = 250 * time.Millisecond
)

type received struct {
	chunk Chunk
	err   error
}

// attempt runs one attempt. A nil error comes with how the answer finished.
func (r *Runner) attempt(ctx context.Context, x *run) (answer.Finish, error) {
	x.number++
	x.made = 0
	lease, err := r.reserve(ctx, x)
	if err != nil {
		return answer.Finish{}, err
	}
	defer lease.Release()
	s := lease.Server()
	r.observer.AttemptStarted(x.job, s.Name(), x.number)
	finish, err := r.stream(ctx, x, s)
	if err == nil || fault.From(err).Ran() != fault.NotRun {
		x.reached = true
	}
	r.observer.AttemptEnded(x.job, s.Name(), x.number, err)
	if err != nil && ctx.Err() == nil {
		r.handleFailure(ctx, x, s, err)
	}
	return finish, err
}

// handleFailure finds out what became of a server on which an attempt failed.
func (r *Runner) handleFailure(ctx context.Context, x *run, s config.Server, err error) {
	f := fault.From(err)
	now := time.Now()
	switch f.Code() {
	case fault.ServerBusy:
		r.loads.SetDown(s.Name(), now.Add(downAfterRefuse))
		return
	case fault.ServerSilent:
		r.loads.SetDown(s.Name(), now.Add(downAfterDeath))
	case fault.ServerFailed:
		r.probeFailed(ctx, x, s, f)
	default:
		return
	}
	clear(x.exclude)
	x.exclude[s.Name()] = true
}

// probeFailed asks a server whose connection broke whether it has died.
func (r *Runner) probeFailed(ctx context.Context, x *run, s config.Server, f *fault.Error) {
	now := time.Now()
	c, cancel := context.WithDeadline(ctx, now.Add(probeWait))
	defer cancel()
	switch r.engine.Probe(c, s) {
	case Dead:
		r.loads.SetDown(s.Name(), now.Add(downAfterDeath))
		if f.Ran() == fault.NotRun {
			return // It was dead before.
		}
		d := quarantine.Suspicion{Fingerprint: x.job.Fingerprint, Server: s.Name(), Tokens: x.made}
		again := r.quarantine.Died(d, now)
		r.observer.ServerDied(d)
		if again {
			r.evaluate(ctx, x)
		}
	case Silent:
		r.loads.SetDown(s.Name(), now.Add(downAfterDeath))
	case Healthy:
	}
}

// evaluate waits for what other nodes know of the servers that died, and quarantines
// the request if it is the cause. The other nodes know of it before the caller
// does, so that a repeat through any of them is refused.
func (r *Runner) evaluate(ctx context.Context, x *run) {
	t := time.NewTimer(evaluateWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	if r.quarantine.Evaluate(x.job.Fingerprint, time.Now()) {
		r.observer.RequestQuarantined(x.job.Fingerprint)
	}
}

// stream opens the attempt and reads it to its end.
func (r *Runner) stream(ctx context.Context, x *run, s config.Server) (answer.Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, before, _ := x.job.Answer.Progress()
	body, err := x.job.Request.Resume(x.job.Answer.Text(), before.Completion, x.job.Service.Priority())
	if err != nil {
		return answer.Finish{}, fault.Wrap(err, fault.Internal, "resume", s.Name()).WithRan(fault.NotRun)
	}
	header := x.job.Answer.Header()
	chunks := make(chan received)
	go r.read(ctx, s, Attempt{Request: header.ID, Path: header.Path, Body: body, Number: x.number}, chunks)
	return r.consume(ctx, x, s, chunks, before)
}

// read sends what comes from the engine until the end or ctx is done.
func (r *Runner) read(ctx context.Context, s config.Server, a Attempt, to chan<- received) {
	stream, err := r.engine.Open(ctx, s, a)
	if err != nil {
		forward(ctx, to, received{err: err})
		return
	}
	defer stream.Close()
	for {
		c, err := stream.Next()
		if !forward(ctx, to, received{chunk: c, err: err}) || err != nil {
			return
		}
	}
}

func forward(ctx context.Context, to chan<- received, x received) bool {
	select {
	case to <- x:
		return true
	case <-ctx.Done():
		return false
	}
}

// consume takes the chunks into the answer and watches for silence.
func (r *Runner) consume(ctx context.Context, x *run, s config.Server, chunks <-chan received, before answer.Usage) (answer.Finish, error) {
	w := newWatch()
	defer w.stop()
	defer func() { x.lastHeard = w.last }()
	finish := answer.Finish{}
	for {
		select {
		case <-ctx.Done():
			return finish, ctx.Err()
		case c := <-chunks:
			w.heard(time.Now())
			if c.err != nil {
				return finish, endOf(c.err, finish, s)
			}
			if c.chunk.Finish != "" {
				finish.Reason = c.chunk.Finish
			}
			if err := r.take(x, s, c.chunk, before); err != nil {
				return finish, err
			}
		case <-w.timer.C:
			if w.expired() {
				return finish, fault.Wrap(errors.New("the stream fell silent"), fault.ServerFailed, "generate", s.Name())
			}
			w.probe(ctx, func(c context.Context) Health { return r.engine.Probe(c, s) })
		case h := <-w.result:
			if h == Healthy && !w.started && r.router.Better(r.routeRequest(x), s.Name()) {
				return finish, fault.Wrap(errors.New("the request waits in the server's queue"), fault.ServerBusy, "generate", s.Name())
			}
			if h == Healthy {
				w.rearm()
				continue
			}
			return finish, fault.Wrap(errors.New("the server fell silent"), codeOf(h), "generate", s.Name())
		}
	}
}

// endOf checks the end of a stream: it is whole once it has a finish reason,
// whatever becomes of the connection then.
func endOf(err error, finish answer.Finish, s config.Server) error {
	if finish.Reason != "" {
		return nil
	}
	if errors.Is(err, ErrEnd) {
		return fault.Wrap(errors.New("the stream ended without a finish reason"), fault.ServerFailed, "generate", s.Name())
	}
	return err
}

// codeOf returns the code of an attempt whose server doesn't answer a probe.
func codeOf(h Health) fault.Code {
	if h == Dead {
		return fault.ServerFailed
	}
	return fault.ServerSilent
}

// take adds one chunk to the answer. Chunks without text only count tokens,
// which are counted with the text that follows: text that was not sent is made
// again by the next attempt.
func (r *Runner) take(x *run, s config.Server, c Chunk, before answer.Usage) error {
	if c.Text == "" {
		return nil
	}
	u := answer.Usage{Prompt: before.Prompt, Completion: before.Completion + c.Completion}
	if u.Prompt == 0 {
		u.Prompt = c.Prompt
	}
	if !x.job.Answer.Push(x.job.Epoch, c.Text, u) {
		return fault.New(fault.Superseded, "generate", s.Name()).WithRan(fault.DidRun)
	}
	x.fruitful = x.number
	x.made = c.Completion
	if !x.lost.IsZero() {
		r.observer.Resumed(x.job, s.Name(), time.Since(x.lost))
		x.lost = time.Time{}
	}
	r.copier.Notify(x.job.Answer)
	return nil
}

package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

const (
	// heldWait bounds the question to an engine which prompts it keeps.
	heldPromptsTimeout = 400 * time.Millisecond
	// heldAnswer bounds its answer.
	maxReportBytes = 1 << 20
	// returnWait is how long after a node's start a stream that is resumed waits until
	// it is known which engine keeps its prompt: reading it again takes a second.
	promptIndexWait         = 700 * time.Millisecond
	promptIndexPollInterval = 10 * time.Millisecond
)

// AskHeld asks an engine which prompts it keeps in its memory, and notes them.
func (h *Handler) AskHeld(ctx context.Context, m *fleet.Member) error {
	deadline := time.Now().Add(heldPromptsTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := h.Pool.Get(ctx, m.Address(), http1.Reuse)
	if err != nil {
		return err
	}
	body, err := queryEngine(c, h.Dialect.HeldRequest(), deadline)
	if err != nil {
		c.Close()
		return errors.Wrapf(err, "query prompts held by %s", m.ID())
	}
	h.Pool.Put(c)
	prompts, err := h.Dialect.Held(body)
	if err != nil {
		return errors.Wrapf(err, "query prompts held by %s", m.ID())
	}
	now := time.Now()
	m.RecordContact(now)
	for _, p := range prompts {
		h.Prompts.RecordIfUnknown(p, m.ID(), now)
	}
	h.Recorder.Record("prompts found", Fields{"server": m.ID(), "prompts": len(prompts)})
	return nil
}

// question asks an engine something on a connection and returns the answer's body.
func queryEngine(c *http1.Conn, q *http1.Request, deadline time.Time) ([]byte, error) {
	if err := c.Send(q, deadline); err != nil {
		return nil, err
	}
	r, err := c.Head(http.MethodGet, "", func(http.Header) string { return "" }, deadline)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReportBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", r.StatusCode)
	}
	return body, nil
}

// awaitPrompt waits, shortly after the node's start, until it is known which engine
// keeps the prompt of a stream that is resumed.
func (x *exchange) awaitPromptServer() {
	if x.call.LastEvent == 0 || x.call.Prompt == "" {
		return
	}
	end := x.h.started.Add(promptIndexWait)
	for time.Now().Before(end) && x.ctx.Err() == nil && x.h.Prompts.Server(x.call.Prompt, time.Now()) == "" {
		time.Sleep(promptIndexPollInterval)
	}
}

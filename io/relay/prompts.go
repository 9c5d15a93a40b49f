package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

const (
	// promptsTimeout limits the time of a query for the prompts that an engine holds in
	// its KV cache.
	promptsTimeout = 400 * time.Millisecond
	// maxReportBytes limits the size of an engine's response to a query.
	maxReportBytes = 1 << 20
	// promptIndexWait is how long after the start of the node a resumed stream waits
	// for the node to learn which engine holds its prompt. Processing the prompt again
	// takes about a second.
	promptIndexWait         = 700 * time.Millisecond
	promptIndexPollInterval = 10 * time.Millisecond
)

// QueryPrompts queries an engine for the prompts that it holds in its KV cache, and
// records them.
func (h *Handler) QueryPrompts(ctx context.Context, m *fleet.Member) error {
	deadline := time.Now().Add(promptsTimeout)
	body, err := h.queryServer(ctx, m, h.Codec.PromptsRequest(), deadline)
	if err != nil {
		return errors.Wrapf(err, "query prompts held by %s", m.ID())
	}
	prompts, err := h.Codec.DecodePrompts(body)
	if err != nil {
		return errors.Wrapf(err, "query prompts held by %s", m.ID())
	}
	now := time.Now()
	m.RecordContact(now)
	for _, p := range prompts {
		h.PromptIndex.RecordIfUnknown(p, m.ID(), now)
	}
	h.Recorder.Record("prompts found", Fields{"server": m.ID(), "prompts": len(prompts)})
	return nil
}

// queryServer sends a query to a server, unless that wants none, and returns the body of the
// response.
func (h *Handler) queryServer(ctx context.Context, m *fleet.Member, q *http1.Request, deadline time.Time) ([]byte, error) {
	if !h.Fleet.AllowQuery(m, h.NodeCount(), time.Now()) {
		return nil, errors.Wrapf(errDeclines, "query %s", m.ID())
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := h.connectForQuery(ctx, m)
	if err != nil {
		return nil, err
	}
	body, err := h.queryEngine(c, q, deadline)
	if err != nil {
		c.Close()
		return nil, err
	}
	h.Pool.Put(c)
	return body, nil
}

// queryEngine sends a query on a connection and returns the body of the response.
func (h *Handler) queryEngine(c *http1.Conn, q *http1.Request, deadline time.Time) ([]byte, error) {
	held := h.Buffers.Hold(reportHolder, c.Interrupt)
	defer held.Release()
	c.Hold(held)
	if err := c.Send(q, deadline); err != nil {
		return nil, err
	}
	r, err := c.ReadResponse(http.MethodGet, "", func(http.Header) string { return "" }, deadline)
	if err != nil {
		return nil, err
	}
	body, err := bytebudget.ReadAll(r.Body, maxReportBytes+1, r.ContentLength, held)
	if kept := held.Keep(); kept != nil {
		err = kept
	}
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	if len(body) > maxReportBytes {
		return nil, errors.Newf("the body of the response exceeds %d bytes", maxReportBytes)
	}
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", r.StatusCode)
	}
	return body, nil
}

// awaitPromptServer waits, for a short time after the start of the node, until the
// engine that holds the prompt of a resumed stream is known.
func (x *exchange) awaitPromptServer() {
	if x.meta.LastEventID == 0 || x.meta.PromptHash == "" {
		return
	}
	end := x.h.started.Add(promptIndexWait)
	for time.Now().Before(end) && x.ctx.Err() == nil && x.h.PromptIndex.Server(x.meta.PromptHash, time.Now()) == "" {
		time.Sleep(promptIndexPollInterval)
	}
}

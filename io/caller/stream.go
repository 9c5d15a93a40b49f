package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/completion"
	"cicadabeam/core/fault"
	"cicadabeam/core/holder"
)

// writeWhole waits for the end of the answer and writes it in one.
func (h *Handler) writeWhole(x *exchange, r *holder.Reader, q *completion.Request) error {
	if r.Mark().Position() > 0 {
		return fault.Newf(fault.BadRequest, "read-request", "", "Last-Event-ID is only for answers that are streamed").WithRan(fault.RanUnknown)
	}
	var text strings.Builder
	for {
		v, err := r.Next(x.r.Context())
		if err != nil {
			return afterStart(err)
		}
		x.note(v)
		for _, p := range v.Pieces() {
			text.WriteString(p)
		}
		f := v.Finish()
		if !f.Done() {
			continue
		}
		if f.Reason == answer.ReasonFailed {
			return failure(f)
		}
		return x.writeJSON(http.StatusOK, newFormat(r.Header(), q).whole(text.String(), f.Reason, v.Usage()))
	}
}

// afterStart is the error of a reader: the generation may go on without it.
func afterStart(err error) error {
	var f *fault.Error
	if errors.As(err, &f) {
		return err
	}
	if errors.Is(err, context.Canceled) {
		return fault.Wrap(err, fault.CallerLeft, "read-answer", "")
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "read-answer", "")
}

func (x *exchange) note(v answer.View) {
	if len(v.Pieces()) > 0 && x.event.FirstToken.IsZero() {
		x.event.FirstToken = time.Now()
	}
	x.event.Pieces += len(v.Pieces())
}

// writeStream writes the answer as server-sent events. The status is sent with
// the first piece, so that a request that fails before has one of its own.
func (h *Handler) writeStream(x *exchange, r *holder.Reader, q *completion.Request) error {
	s := &eventStream{x: x, format: newFormat(r.Header(), q), control: http.NewResponseController(x.w), wait: h.limits.WriteWait}
	for {
		from := r.Mark()
		v, err := r.Next(x.r.Context())
		if err != nil {
			return s.fail(afterStart(err))
		}
		x.note(v)
		f := v.Finish()
		if f.Reason == answer.ReasonFailed && len(v.Pieces()) == 0 {
			return s.fail(failure(f))
		}
		s.pieces(from, r.Mark(), v.Pieces())
		if f.Reason == answer.ReasonFailed {
			return s.fail(failure(f))
		}
		if f.Done() {
			s.finish(r.Mark(), f.Reason, v.Usage(), q.IncludeUsage())
			return s.flush()
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// eventStream collects events and writes them with one deadline for each write,
// so that a slow reader is given up rather than kept in memory.
type eventStream struct {
	x       *exchange
	format  format
	control *http.ResponseController
	wait    time.Duration
	buffer  bytes.Buffer
}

func (s *eventStream) start() {
	if s.x.wrote {
		return
	}
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.x.begin(http.StatusOK)
}

// event adds an event; an empty id adds none.
func (s *eventStream) event(id string, v any) {
	if id != "" {
		s.buffer.WriteString("id: " + id + "\n")
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	s.buffer.WriteString("data: ")
	s.buffer.Write(b)
	s.buffer.WriteString("\n\n")
}

// pieces adds the text from one mark to the next as one event, after the role at
// the very beginning.
func (s *eventStream) pieces(from, to answer.EventID, pieces []string) {
	s.start()
	if from.Position() == 0 && s.format.chat && s.x.r.Header.Get("Last-Event-ID") == "" {
		s.event(from.String(), s.format.chunk("assistant", "", ""))
	}
	if len(pieces) > 0 {
		s.event(to.String(), s.format.chunk("", strings.Join(pieces, ""), ""))
	}
}

func (s *eventStream) finish(at answer.EventID, reason string, u answer.Usage, withUsage bool) {
	s.event(at.String(), s.format.chunk("", "", reason))
	if withUsage {
		s.event("", s.format.usageChunk(u))
	}
	s.buffer.WriteString("data: [DONE]\n\n")
}

// fail ends the stream with an error: as the response if nothing was sent yet,
// else as an event.
func (s *eventStream) fail(err error) error {
	if !s.x.wrote {
		return err
	}
	s.event("", errorBody{Error: detail(fault.From(err))})
	_ = s.flush()
	return err
}

func (s *eventStream) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.wait))
	_, err := s.x.w.Write(s.buffer.Bytes())
	s.buffer.Reset()
	if err != nil {
		return asGone(err)
	}
	return asGone(s.control.Flush())
}

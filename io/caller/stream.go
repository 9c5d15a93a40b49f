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

// writeCompletion waits for the end of the answer and writes it as one JSON response.
func (h *Handler) writeCompletion(x *exchange, r *holder.Reader, q *completion.Request) error {
	if r.EventID().Position() > 0 {
		return fault.Newf(fault.BadRequest, "read-request", "", "the header Last-Event-ID is only supported for streamed answers").WithRan(fault.RanUnknown)
	}
	var text strings.Builder
	for {
		v, err := r.Next(x.r.Context())
		if err != nil {
			return readerError(err)
		}
		x.recordView(v)
		for _, p := range v.Pieces() {
			text.WriteString(p)
		}
		f := v.Finish()
		if !f.Done() {
			continue
		}
		if f.Reason == answer.ReasonFailed {
			return finishError(f)
		}
		return x.writeJSON(http.StatusOK, newFormatter(r.Header(), q).response(text.String(), f.Reason, v.Usage()))
	}
}

// readerError converts an error of a holder.Reader to a fault. Whether the request ran is
// unknown, because the generation may continue without the reader.
func readerError(err error) error {
	var f *fault.Error
	if errors.As(err, &f) {
		return err
	}
	if errors.Is(err, context.Canceled) {
		return fault.Wrap(err, fault.CallerLeft, "read-answer", "")
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "read-answer", "")
}

// recordView adds the pieces of v to the request's summary.
func (x *exchange) recordView(v answer.View) {
	if len(v.Pieces()) > 0 && x.summary.FirstTokenAt.IsZero() {
		x.summary.FirstTokenAt = time.Now()
	}
	x.summary.Pieces += len(v.Pieces())
}

// writeStream writes the answer as server-sent events. The status is sent with the first
// piece, so that a request that fails earlier gets the status of its error.
func (h *Handler) writeStream(x *exchange, r *holder.Reader, q *completion.Request) error {
	s := &eventStream{x: x, formatter: newFormatter(r.Header(), q), controller: http.NewResponseController(x.w), writeTimeout: h.limits.WriteTimeout}
	for {
		from := r.EventID()
		v, err := r.Next(x.r.Context())
		if err != nil {
			return s.fail(readerError(err))
		}
		x.recordView(v)
		f := v.Finish()
		if f.Reason == answer.ReasonFailed && len(v.Pieces()) == 0 {
			return s.fail(finishError(f))
		}
		s.appendPieces(from, r.EventID(), v.Pieces())
		if f.Reason == answer.ReasonFailed {
			return s.fail(finishError(f))
		}
		if f.Done() {
			s.appendFinish(r.EventID(), f.Reason, v.Usage(), q.IncludeUsage())
			return s.flush()
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// eventStream buffers events and sets a deadline for each write, so that the connection
// of a slow caller is closed instead of occupying memory.
type eventStream struct {
	x            *exchange
	formatter    formatter
	controller   *http.ResponseController
	writeTimeout time.Duration
	buffer       bytes.Buffer
}

func (s *eventStream) startResponse() {
	if s.x.headerWritten {
		return
	}
	h := s.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.x.writeHeader(http.StatusOK)
}

// appendEvent appends an event to the buffer. If id is empty, the event has no ID.
func (s *eventStream) appendEvent(id string, v any) {
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

// appendPieces appends an event with the text between two event IDs. At the start of a chat
// answer, an event with the role precedes it.
func (s *eventStream) appendPieces(from, to answer.EventID, pieces []string) {
	s.startResponse()
	if from.Position() == 0 && s.formatter.chat && s.x.r.Header.Get("Last-Event-ID") == "" {
		s.appendEvent(from.String(), s.formatter.chunk("assistant", "", ""))
	}
	if len(pieces) > 0 {
		s.appendEvent(to.String(), s.formatter.chunk("", strings.Join(pieces, ""), ""))
	}
}

// appendFinish appends the event with the finish reason, the token usage if withUsage is
// set, and the end marker.
func (s *eventStream) appendFinish(at answer.EventID, reason string, u answer.Usage, withUsage bool) {
	s.appendEvent(at.String(), s.formatter.chunk("", "", reason))
	if withUsage {
		s.appendEvent("", s.formatter.usageChunk(u))
	}
	s.buffer.WriteString("data: [DONE]\n\n")
}

// fail ends the stream with an error. If no response has been started, the error is
// returned to be written as the response; otherwise it is also sent as an event.
func (s *eventStream) fail(err error) error {
	if !s.x.headerWritten {
		return err
	}
	err = s.x.requestError(err)
	s.appendEvent("", errorBody{Error: newErrorDetail(fault.From(err))})
	_ = s.flush()
	return err
}

func (s *eventStream) flush() error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	_, err := s.x.w.Write(s.buffer.Bytes())
	s.buffer.Reset()
	if err != nil {
		return responseWriteError(err)
	}
	return responseWriteError(s.controller.Flush())
}

package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/quarantine"
	"cicadabeam/io/service"
)

// answerID returns the ID of the answer for an idempotency key. The hash covers the
// organisation, so a key of one organisation can't yield an answer ID of another.
func answerID(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return "answer-" + hex.EncodeToString(sum[:16])
}

// Fingerprint returns a hash of a request's organisation, service and body. It
// identifies the request for quarantine.
func Fingerprint(organisation, service string, body []byte) quarantine.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation + "\x00" + service + "\x00")
	_, _ = d.Write(body)
	return quarantine.Fingerprint(d.Sum64())
}

// callService forwards a request to a service that is not a model engine.
func (h *Handler) callService(x *exchange) error {
	s, found := x.config.Service(x.r.PathValue("service"))
	if !found || s.Model() != "" || !x.organisation.MayUse(s.Name()) {
		return fault.Newf(fault.NotFound, "route", "", "service %q does not exist or is not available to this organisation", x.r.PathValue("service"))
	}
	x.summary.Service = s.Name()
	key := x.r.Header.Get("Idempotency-Key")
	if err := checkIdempotencyKey(key); err != nil {
		return err
	}
	if key == "" && !s.Idempotent() {
		return fault.Newf(fault.IdempotencyKeyRequired, "read-request", "", "the service %s is not idempotent; the header Idempotency-Key is required", s.Name())
	}
	body, err := h.readBody(x)
	if err != nil {
		return err
	}
	call := newCall(x, s, key, body)
	if err := h.backend.CheckCall(s, call); err != nil {
		return err
	}
	release, err := h.admit(x)
	if err != nil {
		return err
	}
	defer release()
	return h.forwardCall(x, s, call)
}

func newCall(x *exchange, s config.Service, key string, body []byte) claim.Call {
	path := "/" + x.r.PathValue("path")
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return claim.Call{
		Key:      claim.Key{Organisation: x.organisation.Name(), Service: s.Name(), Name: key},
		BodyHash: hashCall(x.r.Method, path, body),
		Method:   x.r.Method,
		Path:     path,
		Headers:  service.ForwardedRequestHeaders(x.r.Header),
		Body:     body,
		Deadline: s.CallDeadline(time.Now()),
	}
}

func hashCall(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(method + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

func (h *Handler) forwardCall(x *exchange, s config.Service, c claim.Call) error {
	var r claim.Response
	var err error
	if s.Idempotent() {
		r, _, err = h.backend.CallWithRetries(x.r.Context(), c, s)
	} else {
		r, err = h.backend.CallAtMostOnce(x.r.Context(), c)
	}
	if err != nil {
		return err
	}
	for _, v := range r.Headers {
		x.w.Header().Add(v.Name, v.Value)
	}
	x.writeHeader(r.Status)
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(h.limits.WriteTimeout))
	_, err = x.w.Write(r.Body)
	return responseWriteError(err)
}

// responseWriteError wraps the error of writing a response, which means that the
// caller has disconnected or reads too slowly. It returns nil if err is nil.
func responseWriteError(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Internal, "write-response", "caller").WithRan(fault.DidRun)
}

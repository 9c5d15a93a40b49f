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

// answerID names the answer to a key of an organisation. It can't be guessed from
// another organisation's keys.
func answerID(organisation, service, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + key))
	return "answer-" + hex.EncodeToString(sum[:16])
}

// Fingerprint names a request by its organisation, service and body.
func Fingerprint(organisation, service string, body []byte) quarantine.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation + "\x00" + service + "\x00")
	_, _ = d.Write(body)
	return quarantine.Fingerprint(d.Sum64())
}

// call passes a request on to a plain service.
func (h *Handler) call(x *exchange) error {
	s, found := x.config.Service(x.r.PathValue("service"))
	if !found || s.Model() != "" || !x.organisation.MayUse(s.Name()) {
		return fault.Newf(fault.NotFound, "route", "", "there is no service %q for this organisation", x.r.PathValue("service"))
	}
	x.event.Service = s.Name()
	key := x.r.Header.Get("Idempotency-Key")
	if err := checkKey(key); err != nil {
		return err
	}
	if key == "" && !s.Idempotent() {
		return fault.Newf(fault.IdempotencyKeyRequired, "read-request", "", "the service %s may not run a request twice; send the header Idempotency-Key", s.Name())
	}
	body, err := h.readBody(x)
	if err != nil {
		return err
	}
	leave, err := h.enter(x)
	if err != nil {
		return err
	}
	defer leave()
	return h.runCall(x, s, newCall(x, s, key, body))
}

func newCall(x *exchange, s config.Service, key string, body []byte) claim.Call {
	path := "/" + x.r.PathValue("path")
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return claim.Call{
		Key:      claim.Key{Organisation: x.organisation.Name(), Service: s.Name(), Name: key},
		BodyHash: callHash(x.r.Method, path, body),
		Method:   x.r.Method,
		Path:     path,
		Headers:  service.RequestHeaders(x.r.Header),
		Body:     body,
		Deadline: s.CallDeadline(time.Now()),
	}
}

func callHash(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(method + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

func (h *Handler) runCall(x *exchange, s config.Service, c claim.Call) error {
	var r claim.Response
	var err error
	if s.Idempotent() {
		r, _, err = h.backend.Forward(x.r.Context(), c, s)
	} else {
		r, err = h.backend.CallOnce(x.r.Context(), c)
	}
	if err != nil {
		return err
	}
	for _, v := range r.Headers {
		x.w.Header().Add(v.Name, v.Value)
	}
	x.begin(r.Status)
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(h.limits.WriteWait))
	_, err = x.w.Write(r.Body)
	return asGone(err)
}

// asGone marks the error of a write to a caller that has gone or reads too
// slowly.
func asGone(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(err, fault.Internal, "write-response", "caller").WithRan(fault.DidRun)
}

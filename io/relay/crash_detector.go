package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/fault"
)

const (
	// evaluationDelay is the delay before the causes of crashes are determined, in which other
	// nodes report the requests that they had on the servers.
	evaluationDelay = 250 * time.Millisecond
	// soundEvents and soundTime are the number of events, and the time from the first to the
	// last of them, from which a stream does not count as starting any more.
	soundEvents = 8
	soundTime   = time.Second
	// expiryInterval is the time between two removals of old entries.
	expiryInterval = time.Second
	// maxPartNames limits the names of prompt parts that are kept for the log, maxLoggedParts
	// those of one request, and maxNameBytes their length.
	maxPartNames   = 1024
	maxLoggedParts = 16
	maxNameBytes   = 64
)

// crashDetector detects what crashes servers and refuses the requests that would do so.
type crashDetector struct {
	h      *Handler
	causes *crashcause.List
	mu     sync.Mutex
	names  map[crashcause.Feature]string
	due    bool // the causes are to be determined after evaluationDelay
	// storeDue is set if what is suspected is to be stored.
	storeDue bool
	expiry   time.Time // when old entries are removed next

	evaluations evaluations
}

func newCrashDetector(h *Handler) *crashDetector {
	return &crashDetector{h: h, causes: crashcause.New(), names: make(map[crashcause.Feature]string)}
}

// setFeatures determines what the request may have in common with others.
func (x *exchange) setFeatures() {
	d := xxhash.New()
	_, _ = d.WriteString(x.organisation.Name + "\x00" + x.r.Method + "\x00" + x.r.Host + "\x00" + x.target() + "\x00")
	_, _ = d.Write(x.body)
	x.whole = []crashcause.Feature{crashcause.WholeRequest(d.Sum64())}
	if x.meta.PromptHash != "" {
		_, _ = d.WriteString("\x00" + x.meta.Model + "\x00" + strings.Join(x.meta.PromptParts, ",") + "," + x.meta.PromptHash)
		x.whole = append(x.whole, crashcause.WholeRequest(d.Sum64()))
	}
	features := slices.Clone(x.whole)
	for _, id := range x.meta.PromptParts {
		features = append(features, crashcause.PromptPart(x.meta.Model, id))
	}
	class := x.service.Name + "\x00" + x.meta.Model
	if len(x.meta.PromptParts) == 0 {
		class += "\x00no shared parts" // requests with shared parts can't be compared with these
	}
	x.features = crashcause.NewRequest(class, features...)
}

// promptOnly returns the request without the feature of the request as a whole.
func (x *exchange) promptOnly() crashcause.Request {
	r := x.features
	r.Features = slices.DeleteFunc(slices.Clone(r.Features), func(f crashcause.Feature) bool { return slices.Contains(x.whole, f) })
	return r
}

// wholeOnly returns the request with no features but those of the request as a whole.
func (x *exchange) wholeOnly() crashcause.Request {
	r := x.features
	r.Features = slices.DeleteFunc(slices.Clone(r.Features), func(f crashcause.Feature) bool { return !slices.Contains(x.whole, f) })
	return r
}

// scheduleCauses determines the causes of crashes after evaluationDelay.
func (d *crashDetector) scheduleCauses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.due {
		return
	}
	d.due = true
	time.AfterFunc(evaluationDelay, func() {
		d.mu.Lock()
		d.due = false
		d.mu.Unlock()
		d.evaluate()
	})
}

// evaluate determines the causes of crashes.
func (d *crashDetector) evaluate() {
	found := d.causes.Evaluate(time.Now())
	for _, c := range found {
		d.log(c, "")
	}
	if len(found) > 0 {
		d.h.NotifyPeers()
	}
	d.storeChanges()
}

// storeChanges hands the causes that this node has changed on to be stored.
func (d *crashDetector) storeChanges() {
	if d.h.StoreCauses == nil {
		return
	}
	if changed := d.causes.TakeChanges(); len(changed) > 0 {
		go d.h.StoreCauses(changed)
	}
}

// MergeStoredCauses applies causes of crashes that were stored, and returns those that have expired.
func (h *Handler) MergeStoredCauses(all []crashcause.StoredCause, now time.Time) (expired []crashcause.StoredCause) {
	var valid []crashcause.StoredCause
	for _, c := range all {
		if c.Expired(now) {
			expired = append(expired, c)
			continue
		}
		valid = append(valid, c)
	}
	for _, c := range h.crashDetector.causes.MergeStored(valid, now) {
		h.crashDetector.log(c, "store")
	}
	return expired
}

func (d *crashDetector) log(c crashcause.Cause, from string) {
	d.mu.Lock()
	var parts []string
	for _, f := range c.Features {
		name, known := d.names[f]
		if !known {
			name = f.String()
		}
		parts = append(parts, name)
	}
	d.mu.Unlock()
	event := "crash cause quarantined"
	if c.Suspected {
		event = "crash cause suspected"
		d.scheduleSuspicions()
	}
	d.h.Recorder.Record(event, Fields{
		"parts": strings.Join(parts, ","), "servers": strings.Join(c.Servers, ","), "ms": ms(time.Until(c.Until)), "from": from,
	})
}

// keepNames keeps the names of the features of a request for the log.
func (d *crashDetector) keepNames(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.names) > maxPartNames {
		clear(d.names)
	}
	for _, f := range x.whole {
		d.names[f] = "request " + f.String()
	}
	for i, name := range partNames(x.meta.PromptParts) {
		d.names[crashcause.PromptPart(x.meta.Model, x.meta.PromptParts[i])] = name
	}
}

// partNames returns the parts of a prompt in the form in which they are logged.
func partNames(parts []string) []string {
	var all []string
	for _, id := range parts[:min(len(parts), maxLoggedParts)] {
		all = append(all, strings.Clone(id[:min(len(id), maxNameBytes)]))
	}
	return all
}

// refusal returns the error for a request that is known, or suspected, to crash servers, or nil.
func (d *crashDetector) refusal(x *exchange) *fault.Error {
	refusal, refused := d.awaitTrial(x, d.causes.Refuses, d.causes.StillRefuses)
	if !refused {
		return nil
	}
	var parts []string
	for _, id := range x.meta.PromptParts {
		if slices.Contains(refusal.Features, crashcause.PromptPart(x.meta.Model, id)) {
			parts = append(parts, id)
		}
	}
	parts = partNames(parts)
	switch {
	case refusal.Suspected:
		err := fault.Newf(fault.PromptQuarantined, "admit", "", "servers crashed while running requests like this one, which run one at a time until the cause is known")
		return err.WithRetryAt(refusal.Until)
	case len(parts) == 0:
		return fault.Newf(fault.RequestQuarantined, "admit", "", "the request is quarantined because servers crashed while running it")
	}
	err := fault.Newf(fault.PromptQuarantined, "admit", "", "requests with the prompt part %s are quarantined because servers crashed while running them", strings.Join(parts, ", "))
	return err.WithRetryAt(refusal.Until)
}

// maySend reports whether the request may be sent to a server. again is set if a server was
// lost while running it.
func (d *crashDetector) maySend(x *exchange, again bool) bool {
	return d.causes.MaySend(x.features, again, time.Now())
}

// recordSound records that the request did not crash its server. An established run says nothing
// of the request as a whole, which may crash servers later.
func (d *crashDetector) recordSound(x *exchange, completed bool) {
	switch {
	case len(x.meta.PromptParts) == 0 && completed:
		d.causes.RecordSoundIfSuspected(x.features, time.Now())
	case completed:
		d.causes.RecordSound(x.features, time.Now())
	case len(x.meta.PromptParts) > 0:
		d.causes.RecordSound(x.promptOnly(), time.Now())
	}
	if d.causes.TakeReleased() {
		d.evaluate()
		d.h.NotifyPeers()
	}
	d.storeChanges()
}

// CrashReport returns what this node knows of crashes of servers and their causes, for other
// nodes.
func (h *Handler) CrashReport(now time.Time) crashcause.Report {
	d := h.crashDetector
	d.mu.Lock()
	expire := !now.Before(d.expiry)
	if expire {
		d.expiry = now.Add(expiryInterval)
	}
	d.mu.Unlock()
	if expire {
		d.causes.Expire(now)
	}
	return d.causes.Report(now)
}

// MergeCrashes applies what another node knows of crashes of servers and their causes.
func (h *Handler) MergeCrashes(r crashcause.Report, from string, now time.Time) {
	d := h.crashDetector
	causes, crashed := d.causes.Merge(r, now, h.Fleet.ContactedSince)
	for _, c := range causes {
		d.log(c, from)
	}
	if crashed {
		d.scheduleCauses()
	}
}

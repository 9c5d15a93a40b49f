package generation

import (
	"slices"
	"sync"
	"time"

	"cicadabeam/core/config"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/fault"
	"cicadabeam/core/quarantine"
)

const (
	// soundChunks and soundTime are the number of chunks, and the time from the first to the
	// last of them, from which an attempt does not count as starting any more.
	soundChunks = 8
	soundTime   = time.Second
)

// CrashObserver provides the configuration to a CrashDetector and is notified of the causes of
// crashes.
type CrashObserver interface {
	Config() *config.Config
	// CausesFound is called when causes of crashes have been determined.
	CausesFound(causes []crashcause.Cause)
}

// CrashDetector finds the messages that crash the engines that run requests with them, and
// refuses such requests. Requests without messages before the last one are left to the
// quarantine of whole requests.
type CrashDetector struct {
	observer CrashObserver
	causes   *crashcause.List
	mu       sync.Mutex
	due      bool // the causes are to be determined after crashReportWait
}

// NewCrashDetector returns a CrashDetector that knows of no crashes.
func NewCrashDetector(o CrashObserver) *CrashDetector {
	return &CrashDetector{observer: o, causes: crashcause.NewForReusedNames()}
}

// crashFeatures is what a request may have in common with others.
type crashFeatures struct {
	request crashcause.Request
	whole   crashcause.Feature // of the request as a whole
}

func newCrashFeatures(service config.Service, messages []string, f quarantine.Fingerprint) crashFeatures {
	x := crashFeatures{whole: crashcause.WholeRequest(uint64(f))}
	var all []crashcause.Feature
	for _, m := range messages {
		all = append(all, crashcause.PromptPart(service.Model(), m))
	}
	if len(all) > 0 {
		all = append(all, x.whole)
	}
	x.request = crashcause.NewRequest(service.Name(), all...)
	return x
}

// wholeOnly returns the request with no feature but that of the request as a whole.
func (x crashFeatures) wholeOnly() crashcause.Request {
	return x.only(func(f crashcause.Feature) bool { return f == x.whole })
}

// messagesOnly returns the request without the feature of the request as a whole.
func (x crashFeatures) messagesOnly() crashcause.Request {
	return x.only(func(f crashcause.Feature) bool { return f != x.whole })
}

func (x crashFeatures) only(keep func(crashcause.Feature) bool) crashcause.Request {
	r := crashcause.Request{Class: x.request.Class}
	for _, f := range x.request.Features {
		if keep(f) {
			r.Features = append(r.Features, f)
		}
	}
	return r
}

// Check returns a fault if a new request is to be refused because requests like it crashed
// engines.
func (d *CrashDetector) Check(service config.Service, messages []string, f quarantine.Fingerprint) error {
	x := newCrashFeatures(service, messages, f)
	refusal, refused := d.causes.Refuses(x.request, time.Now())
	switch {
	case !refused:
		return nil
	case slices.Equal(refusal.Features, []crashcause.Feature{x.whole}):
		return fault.Newf(fault.RequestQuarantined, "admit", "", "this request crashed the backend servers that ran it")
	default:
		return promptQuarantined("admit").WithRetryAt(refusal.Until)
	}
}

func promptQuarantined(step string) *fault.Error {
	return fault.Newf(fault.PromptQuarantined, step, "", "requests with a message of this prompt crashed the backend servers that ran them")
}

// checkAttempt returns a fault if a request may not be sent to an engine. again is set if an
// engine crashed while running it.
func (d *CrashDetector) checkAttempt(x crashFeatures, again bool) *fault.Error {
	if d.causes.MaySend(x.request, again, time.Now()) {
		return nil
	}
	return promptQuarantined("generate").WithRetryAt(d.causes.RetryAt(x.request))
}

// recordCrash records that an engine crashed while running a request. starting is set if it had
// just begun to answer.
func (d *CrashDetector) recordCrash(x crashFeatures, server string, starting bool, now time.Time) {
	r := x.request
	if !starting {
		r = x.wholeOnly()
	}
	d.causes.RecordCrash(crashcause.Crash{Server: server, At: now, Requests: []crashcause.Request{r}})
	d.scheduleEvaluation()
}

// suspects reports whether a request is to wait for the evaluation of crashes before it is sent
// to another engine.
func (d *CrashDetector) suspects(x crashFeatures) bool {
	return d.causes.Suspects(x.request, time.Now())
}

// recordSound records that a request, or its messages only, did not crash an engine.
func (d *CrashDetector) recordSound(r crashcause.Request) { d.causes.RecordSound(r, time.Now()) }

// scheduleEvaluation determines the causes of crashes after the other nodes have had time to
// report which requests ran on the engines.
func (d *CrashDetector) scheduleEvaluation() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.due {
		return
	}
	d.due = true
	time.AfterFunc(crashReportWait, d.evaluate)
}

func (d *CrashDetector) evaluate() {
	d.mu.Lock()
	d.due = false
	d.mu.Unlock()
	d.causes.RelateCrashes(d.related)
	if found := d.causes.Evaluate(time.Now()); len(found) > 0 {
		d.observer.CausesFound(found)
	}
}

// related reports whether two servers may fail together.
func (d *CrashDetector) related(a, b string) bool {
	c := d.observer.Config()
	if c == nil {
		return false
	}
	x, foundA := c.Server(a)
	y, foundB := c.Server(b)
	return foundA && foundB && x.DataCentre() == y.DataCentre()
}

// Report returns what this node knows of crashes and their causes, for other nodes.
func (d *CrashDetector) Report(now time.Time) crashcause.Report { return d.causes.Report(now) }

// Merge applies the report of another node and returns the causes that are new.
func (d *CrashDetector) Merge(r crashcause.Report, now time.Time) []crashcause.Cause {
	causes, crashed := d.causes.Merge(r, now, func(string, time.Time) bool { return false })
	if crashed {
		d.scheduleEvaluation()
	}
	return causes
}

// Quarantined returns the number of quarantined causes.
func (d *CrashDetector) Quarantined(now time.Time) int { return d.causes.Quarantined(now) }

// Expire removes what is no longer needed.
func (d *CrashDetector) Expire(now time.Time) { d.causes.Expire(now) }

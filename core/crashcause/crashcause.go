// Package crashcause finds out what crashes backend servers: a part of the prompts of
// different requests, or one request that is sent again and again.
//
// Each request has features: one for each part of its prompt that it may share with other
// requests, and one for the request as a whole. The features that all or nearly all requests
// have in common that were starting on servers as these crashed, and that no request has
// that ran well, are one cause. If others of the same class ran well and not all on the servers have
// the features, it is quarantined at once. Else it is suspected: requests with all features of it run
// one at a time, as trials; see package probation. A crash in a trial convicts: the cause is quarantined, and
// requests with it are to be refused. A feature that is seen in a request that runs well is taken out
// of the cause.
//
// After some minutes one request with the features is let through. If its server crashes
// too, the cause is quarantined for longer.
//
// Nodes exchange reports. What a node learns from them has the same effect as what it has
// observed itself. All that is kept is limited in number and time, as callers name the parts.
//
// # Usage
//
//	l := crashcause.New()
//	r := crashcause.NewRequest("model-a", parts, crashcause.WholeRequest(hash))
//	if until, refused := l.Refuses(r, now); refused { ... refuse until then ... }
//	l.RecordCrash(crashcause.Crash{Server: "engine-3", At: now, Requests: []crashcause.Request{r}})
//	l.RecordSound(r, now)
//	for _, c := range l.Evaluate(now) { ... log c ... }
package crashcause

import (
	"iter"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/recency"
)

const (
	// crashThreshold is the number of crashes from which features are taken for a cause.
	crashThreshold = 3
	// outageThreshold is the number of different moments of crashes from which features are taken
	// for a cause although other servers were lost each time.
	outageThreshold = 5
	// minCrashSpan is the minimum time between the first and the last of these crashes.
	minCrashSpan = 300 * time.Millisecond
	// commonShare is the share of the crashes with the most frequent feature from which
	// another feature belongs to the same cause.
	commonShare = 0.75
	// refutedThreshold is the number of crashes under a feature that a known cause with it doesn't
	// explain, from which that cause is taken for too narrow.
	refutedThreshold = 1
	// withinShare is the share of the crashes with a feature from which another one, within the
	// requests with it, is the likelier cause: some of the requests on a server are not known yet.
	withinShare = 0.6
	// soundMemory is how long before a crash a request must have run well for its features
	// not to be suspected of the crash.
	soundMemory = time.Minute
	// crashRetention is how long crashes are kept.
	crashRetention = 10 * time.Minute
	// sameCrashWindow is the time between two reports that are of one crash, if servers keep
	// their names when they restart.
	sameCrashWindow = 2 * time.Second
	// lostTogetherWindow is the time between two crashes that may have another cause than
	// requests.
	lostTogetherWindow = 500 * time.Millisecond

	maxCrashes          = 512
	maxRequestsPerCrash = 16
	maxSound            = 8192
	maxFeatures         = 32
)

// Feature is a property that requests may have in common.
type Feature uint64

// String returns the feature in hex.
func (f Feature) String() string { return strconv.FormatUint(uint64(f), 16) }

// PromptPart returns the feature of the requests for a model whose prompts contain a part.
func PromptPart(model, id string) Feature {
	return Feature(xxhash.Sum64String("part\x00" + model + "\x00" + id))
}

// WholeRequest returns the feature of the requests with a fingerprint.
func WholeRequest(fingerprint uint64) Feature { return Feature(fingerprint) }

// Request is what is known of a request.
type Request struct {
	// Class is the feature of the requests that this one may be compared with.
	Class    Feature
	Features []Feature
}

// NewRequest returns a request for a model with the given features. Their number is limited.
func NewRequest(model string, features ...Feature) Request {
	features = slices.Clone(features)
	slices.Sort(features)
	features = slices.Compact(features)
	return Request{Class: Feature(xxhash.Sum64String("model\x00" + model)), Features: features[:min(len(features), maxFeatures)]}
}

func (r Request) has(f Feature) bool { return slices.Contains(r.Features, f) }

func (r Request) equal(x Request) bool {
	return r.Class == x.Class && slices.Equal(r.Features, x.Features)
}

// Crash is the end of a server's process while it ran requests.
type Crash struct {
	Server string
	At     time.Time
	// Noticed is when it became known that the server ended, zero if that was at once.
	Noticed time.Time
	// Requests may have caused the crash.
	Requests []Request
	// LostWith names the other servers of the service and data centre that were lost at about
	// the same time.
	LostWith []string
}

// crash is a crash with what is known of it from this node and others.
type crash struct {
	Crash
	features map[Feature]bool // of all requests
	own      []Request        // that this node had on the server
	judged   bool             // it has told what a trial can tell
}

func (c *crash) has(f Feature) bool { return c.features[f] }

// List holds the crashes, the features of requests that ran well, and the causes. It is safe
// for concurrent use.
type List struct {
	mu          sync.Mutex
	namesReused bool
	trials      bool                  // causes are suspected before they are quarantined
	crashes     map[string][]*crash   // by server
	sound       *recency.Log[Feature] // when requests last ran well
	causes      map[string]*cause     // by key
	// concerned are the features of the requests that may have caused crashes.
	concerned map[Feature]bool
	// changed are the keys of the causes that this node's evidence has changed, for TakeChanges.
	changed map[string]bool
	dirty   atomic.Bool // there are any
	// convicted are the causes that trials have convicted, for Evaluate.
	convicted []*cause
	released  bool          // a feature was taken out of a cause, for TakeReleased
	waiting   chan struct{} // closed when a request may be let through, nil if nobody waits
}

// New returns an empty list for servers that have another name after a restart.
func New() *List {
	return &List{
		trials: true, crashes: make(map[string][]*crash), sound: recency.New[Feature](maxSound), causes: make(map[string]*cause), concerned: make(map[Feature]bool),
	}
}

// NewForReusedNames returns an empty list for servers that keep their names when they restart. It
// quarantines causes without trials.
func NewForReusedNames() *List {
	l := New()
	l.namesReused, l.trials = true, false
	return l
}

// RecordCrash records a crash of a server that ran requests of this node. Several requests that
// ran on a server are merged. A crash under a cause that is tried again renews the quarantine.
func (l *List) RecordCrash(c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.mergeCrash(c)
	known.own = append(known.own, c.Requests[:min(len(c.Requests), max(0, maxRequestsPerCrash-len(known.own)))]...)
}

// mergeCrash adds what is known of a crash.
func (l *List) mergeCrash(c Crash) *crash {
	known := l.find(c.Server, c.At)
	if known == nil {
		l.makeRoom()
		known = &crash{Crash: Crash{Server: c.Server, At: c.At, Noticed: c.At}, features: make(map[Feature]bool)}
		l.crashes[c.Server] = append(l.crashes[c.Server], known)
	}
	if c.Noticed.After(known.Noticed) {
		known.Noticed = c.Noticed
	}
	for _, s := range c.LostWith {
		known.addLostWith(s)
	}
	for _, r := range c.Requests {
		if !known.lacks(r) || len(known.Requests) == maxRequestsPerCrash {
			continue
		}
		known.Requests = append(known.Requests, r)
		for _, f := range r.Features {
			known.features[f] = true
			l.concerned[f] = true
		}
		l.renewCauses(r, known.At)
		l.endTrials(known)
	}
	return known
}

// lacks reports whether a request is not known to have been on the server.
func (c *crash) lacks(r Request) bool {
	return len(r.Features) > 0 && !slices.ContainsFunc(c.Requests, r.equal)
}

// find returns the recorded crash of a server at a time, or nil.
func (l *List) find(server string, at time.Time) *crash {
	for _, c := range l.crashes[server] {
		if !l.namesReused || c.At.Sub(at).Abs() <= sameCrashWindow {
			return c
		}
	}
	return nil
}

// allCrashes iterates over the recorded crashes.
func (l *List) allCrashes() iter.Seq[*crash] {
	return func(yield func(*crash) bool) {
		for _, all := range l.crashes {
			for _, c := range all {
				if !yield(c) {
					return
				}
			}
		}
	}
}

// deleteCrashes deletes the crashes for which del returns true.
func (l *List) deleteCrashes(del func(*crash) bool) {
	for server, all := range l.crashes {
		if all = slices.DeleteFunc(all, del); len(all) == 0 {
			delete(l.crashes, server)
			continue
		}
		l.crashes[server] = all
	}
}

// makeRoom removes the oldest crash if the list is full.
func (l *List) makeRoom() {
	n := 0
	var oldest *crash
	for c := range l.allCrashes() {
		if n++; oldest == nil || c.At.Before(oldest.At) {
			oldest = c
		}
	}
	if n >= maxCrashes {
		l.deleteCrashes(func(c *crash) bool { return c == oldest })
	}
}

// RelateCrashes records that servers may have been lost for another cause than requests, if they
// crashed at about the same time and related returns true for them.
func (l *List) RelateCrashes(related func(a, b string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.allCrashes() {
		for b := range l.allCrashes() {
			if a.Server != b.Server && a.At.Sub(b.At).Abs() <= lostTogetherWindow && related(a.Server, b.Server) {
				a.addLostWith(b.Server)
			}
		}
	}
}

func (c *crash) addLostWith(server string) {
	if !slices.Contains(c.LostWith, server) && len(c.LostWith) < maxRequestsPerCrash {
		c.LostWith = append(c.LostWith, server)
	}
}

// RecordSound records that a request ran well at a time: it was completed, or its server went
// on for long after the first output.
func (l *List) RecordSound(r Request, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSound(r.Class, at)
	for _, f := range r.Features {
		l.recordOwnSound(f, at)
	}
}

// recordOwnSound is recordSound for a request of this node.
func (l *List) recordOwnSound(f Feature, at time.Time) {
	for _, c := range l.causes {
		if slices.Contains(c.remaining, f) {
			l.markChanged(c)
		}
	}
	l.recordSound(f, at)
}

// RecordSoundIfSuspected is like RecordSound for the features of requests that may have caused
// crashes, and without effect for other features. It is to be used for requests whose features rarely
// come again.
func (l *List) RecordSoundIfSuspected(r Request, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSound(r.Class, at)
	for _, f := range r.Features {
		if l.concerned[f] {
			l.recordOwnSound(f, at)
		}
	}
}

func (l *List) recordSound(f Feature, at time.Time) {
	l.sound.Record(f, at)
	for _, c := range l.causes {
		if c.acquit(f, at) {
			l.updateStored(c)
			l.released = true
			l.notify()
		}
	}
}

// Evaluate determines the causes of the recorded crashes. It returns those that are suspected now,
// and those that were convicted in trials since the last call.
func (l *List) Evaluate(now time.Time) []Cause {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = false
	for c := range l.allCrashes() {
		l.judge(c)
	}
	found := l.takeConvicted()
	for len(found) < maxCauses {
		c, ok := l.nextCause(now)
		if !ok {
			break
		}
		c.Suspected = c.Suspected && l.needsTrial(c)
		x := newCause(c, now)
		c.Until = x.suspicion.OpensAt()
		if !c.Suspected {
			x.quarantine(now)
			c.Until = x.until
			l.markChanged(x)
		}
		l.addCause(x)
		l.dropExplained(x)
		found = append(found, c)
	}
	return found
}

// Expire removes what is no longer needed.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.concerned)
	l.deleteCrashes(func(c *crash) bool { return now.Sub(c.At) > crashRetention })
	for c := range l.allCrashes() {
		for f := range c.features {
			l.concerned[f] = true
		}
	}
	for key, c := range l.causes {
		if c.expired(now) {
			delete(l.causes, key)
			continue
		}
		for _, f := range c.features {
			l.concerned[f] = true
		}
	}
	l.sound.DeleteFunc(func(f Feature, at time.Time) bool {
		age := now.Sub(at)
		return age > 2*soundMemory && !l.concerned[f] || age > crashRetention+soundMemory
	})
}

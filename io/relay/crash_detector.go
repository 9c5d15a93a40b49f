package relay

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/fleet"
	"cicadabeam/core/quarantine"
	"cicadabeam/io/http1"
)

const (
	// evaluationDelay is the delay before a lost server is probed and its loss
	// evaluated. Other servers that were lost with it are known by then.
	evaluationDelay = 300 * time.Millisecond
	// deathReportTTL is how long a death is reported to other nodes.
	deathReportTTL = 2 * time.Second
	// crashThreshold is the number of servers that must die in isolation while running
	// a request before the request is evaluated for quarantine.
	crashThreshold = 3
)

// crashDetector detects requests that crash the servers that run them.
type crashDetector struct {
	h            *Handler
	list         *quarantine.List
	mu           sync.Mutex
	recentDeaths []death
}

type death struct {
	suspicion quarantine.Suspicion
	at        time.Time
}

func newCrashDetector(h *Handler) *crashDetector {
	return &crashDetector{h: h, list: quarantine.NewWithThreshold(crashThreshold)}
}

// fingerprint identifies a request by a hash of its organisation, method, host, target
// and body.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(x.organisation.Name + "\x00" + x.r.Method + "\x00" + x.r.Host + "\x00" + x.target() + "\x00")
	_, _ = d.Write(x.body)
	return quarantine.Fingerprint(d.Sum64())
}

// scheduleEvaluation is called when a connection ended during a request. Unless the
// request ended or timed out, it checks after evaluationDelay whether the server is
// gone and the loss is isolated. If so, the request becomes a suspect.
func (d *crashDetector) scheduleEvaluation(x *exchange, m *fleet.Member, tokens int, err error) {
	if x.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	s := quarantine.Suspicion{Fingerprint: x.fingerprint(), Server: m.ID(), Tokens: tokens}
	id, parts := x.meta.ID, strings.Join(x.meta.PromptParts, ",")
	time.AfterFunc(evaluationDelay, func() { d.evaluate(s, id, parts, m) })
}

func (d *crashDetector) evaluate(s quarantine.Suspicion, request, parts string, m *fleet.Member) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeTimeout))
	defer cancel()
	c, err := d.h.connectForQuery(ctx, m, http1.ForceNew)
	if err == nil {
		d.h.Pool.Put(c)
		return
	}
	if errors.Is(err, errDeclines) {
		d.h.Recorder.Record("loss not evaluated", Fields{"request": request, "server": m.ID(), "error": err.Error()})
		return
	}
	now := time.Now()
	if !d.h.Fleet.IsIsolatedLoss(m, now) {
		d.h.Recorder.Record("server lost with others", Fields{"request": request, "server": m.ID(), "fingerprint": s.Fingerprint.String(), "parts": parts})
		return
	}
	d.mu.Lock()
	d.recentDeaths = append(d.recentDeaths, death{suspicion: s, at: now})
	d.mu.Unlock()
	d.h.Recorder.Record("server died", Fields{"request": request, "server": m.ID(), "fingerprint": s.Fingerprint.String(), "tokens": s.Tokens, "parts": parts})
	d.recordDeath(s, now)
}

func (d *crashDetector) recordDeath(s quarantine.Suspicion, now time.Time) {
	before := d.list.IsQuarantined(s.Fingerprint, now)
	if d.list.RecordDeath(s, now) && d.list.Evaluate(s.Fingerprint, now) && !before {
		d.h.Recorder.Record("request quarantined", Fields{"fingerprint": s.Fingerprint.String(), "servers": d.list.DeadServers(s.Fingerprint)})
	}
}

// isQuarantined reports whether the request is known to crash servers.
func (d *crashDetector) isQuarantined(x *exchange) bool {
	return d.list.IsQuarantined(x.fingerprint(), time.Now())
}

// RecentDeaths returns the recent deaths of servers that were running requests of this
// node.
func (h *Handler) RecentDeaths(now time.Time) []quarantine.Suspicion {
	d := h.crashDetector
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []quarantine.Suspicion
	kept := d.recentDeaths[:0]
	for _, x := range d.recentDeaths {
		if now.Sub(x.at) <= deathReportTTL {
			kept = append(kept, x)
			all = append(all, x.suspicion)
		}
	}
	d.recentDeaths = kept
	d.list.Expire(now)
	return all
}

// MergeDeaths records deaths reported by another node. Repeated reports have no
// effect.
func (h *Handler) MergeDeaths(all []quarantine.Suspicion, now time.Time) {
	for _, s := range all {
		h.crashDetector.recordDeath(s, now)
	}
}

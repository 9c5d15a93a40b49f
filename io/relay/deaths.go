package relay

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/fleet"
	"cicadabeam/core/quarantine"
	"cicadabeam/io/http1"
)

const (
	// deathWait is waited before a lost server is asked for a connection, and judged:
	// others that die with it are known by then.
	deathWait = 300 * time.Millisecond
	// deathsTold is how long a death is told to other nodes.
	deathsTold = 2 * time.Second
	// crashes is the number of servers that have to die alone under a request.
	crashes = 3
)

// deaths finds requests that crash the servers that run them.
type deaths struct {
	h      *Handler
	list   *quarantine.List
	mu     sync.Mutex
	recent []death
}

type death struct {
	suspicion quarantine.Suspicion
	at        time.Time
}

func newDeaths(h *Handler) *deaths { return &deaths{h: h, list: quarantine.NewWithThreshold(crashes)} }

// fingerprint names a request by its organisation, target and body.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(x.organisation.Name + "\x00" + x.r.Method + "\x00" + x.r.Host + "\x00" + x.target() + "\x00")
	_, _ = d.Write(x.body)
	return quarantine.Fingerprint(d.Sum64())
}

// ended looks at a connection that ended under a request, not by a time-out: if the
// server is gone, and alone, the request is suspected.
func (d *deaths) ended(x *exchange, m *fleet.Member, tokens int, err error) {
	if x.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	s := quarantine.Suspicion{Fingerprint: x.fingerprint(), Server: m.ID(), Tokens: tokens}
	id := x.call.ID
	time.AfterFunc(deathWait, func() { d.judge(s, id, m) })
}

func (d *deaths) judge(s quarantine.Suspicion, request string, m *fleet.Member) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(probeWait))
	defer cancel()
	c, err := d.h.Pool.Get(ctx, m.Address(), http1.Fresh)
	if err == nil {
		d.h.Pool.Put(c)
		return
	}
	now := time.Now()
	if !d.h.Fleet.IsIsolatedLoss(m, now) {
		d.h.Recorder.Record("server lost with others", Fields{"request": request, "server": m.ID(), "fingerprint": s.Fingerprint.String()})
		return
	}
	d.mu.Lock()
	d.recent = append(d.recent, death{suspicion: s, at: now})
	d.mu.Unlock()
	d.h.Recorder.Record("server died", Fields{"request": request, "server": m.ID(), "fingerprint": s.Fingerprint.String(), "tokens": s.Tokens})
	d.take(s, now)
}

func (d *deaths) take(s quarantine.Suspicion, now time.Time) {
	before := d.list.IsQuarantined(s.Fingerprint, now)
	if d.list.RecordDeath(s, now) && d.list.Evaluate(s.Fingerprint, now) && !before {
		d.h.Recorder.Record("request quarantined", Fields{"fingerprint": s.Fingerprint.String(), "servers": d.list.DeadServers(s.Fingerprint)})
	}
}

// quarantined tells whether a request crashes servers.
func (d *deaths) quarantined(x *exchange) bool {
	return d.list.IsQuarantined(x.fingerprint(), time.Now())
}

// Deaths returns the servers that died lately under requests of this node.
func (h *Handler) Deaths(now time.Time) []quarantine.Suspicion {
	d := h.deaths
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []quarantine.Suspicion
	kept := d.recent[:0]
	for _, x := range d.recent {
		if now.Sub(x.at) <= deathsTold {
			kept = append(kept, x)
			all = append(all, x.suspicion)
		}
	}
	d.recent = kept
	d.list.Expire(now)
	return all
}

// HeardDeaths takes the deaths that another node tells. One that is told again
// changes nothing.
func (h *Handler) HeardDeaths(all []quarantine.Suspicion, now time.Time) {
	for _, s := range all {
		h.deaths.take(s, now)
	}
}

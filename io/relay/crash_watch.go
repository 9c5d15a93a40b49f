package relay

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"cicadabeam/core/crashcause"
	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

// serverChecks are the times after the end of an attempt at which it is checked whether its server
// has ended. Other servers that were lost at the same moment are known by the first one, a server
// that was replaced or has left the registry by the last one.
var serverChecks = []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second, 6 * time.Second}

// soundCheck is the index of the check after which a server that has not ended is taken for sound.
const soundCheck = 2

// endedAttempt is an attempt that ended without a complete response.
type endedAttempt struct {
	request  crashcause.Request
	id       string
	parts    []string
	member   *fleet.Member
	at       time.Time
	starting bool // the server had not begun to respond, or just had
	byServer bool // the server ended it, not the caller or the deadline
	// unsure is set if contact with the server had been lost before the request was sent. It may
	// have reached nothing.
	unsure   bool
	lostWith []string
	sound    func() // called once it is known that the server has not ended
	// soundCheck is the index of the check from which that is known.
	soundCheck int
}

// recordCompleted records that a request got a complete response. Where that ended with its
// connection, as it does if the server's process ends, it is awaited whether the server remains.
func (d *crashDetector) recordCompleted(x *exchange, m *fleet.Member, r *http.Response) {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		d.recordSound(x, true)
		return
	}
	d.awaitSound(x, m, soundCheck)
}

// recordAnswered records that a request got a complete response that reports a failure of the server.
// If the server is still there afterwards, the request has not crashed it.
func (d *crashDetector) recordAnswered(x *exchange, m *fleet.Member, r *http.Response) {
	check := soundCheck
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		check = 0
	}
	d.awaitSound(x, m, check)
}

// awaitSound records that a request ran well if its server has not ended by a check.
func (d *crashDetector) awaitSound(x *exchange, m *fleet.Member, check int) {
	a := d.newEndedAttempt(x, m, true)
	a.byServer, a.sound, a.soundCheck = true, func() { d.recordSound(x, true) }, check
	d.scheduleCheck(a, 0)
}

func (d *crashDetector) newEndedAttempt(x *exchange, m *fleet.Member, starting bool) *endedAttempt {
	d.keepNames(x)
	a := &endedAttempt{request: x.features, id: x.meta.ID, parts: partNames(x.meta.PromptParts), member: m, at: time.Now(), starting: starting}
	if !starting {
		a.request = x.wholeOnly()
	}
	return a
}

// watchServer finds out after an attempt without a complete response whether its server has
// ended. If so, the request may have crashed it. starting is set if the server had not begun to
// respond, or just had, and lost if contact with the server had been lost before.
func (d *crashDetector) watchServer(x *exchange, m *fleet.Member, starting, lost bool, err error) {
	a := d.newEndedAttempt(x, m, starting)
	a.unsure = lost
	a.byServer = x.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if a.byServer {
		d.evaluations.expect(a.request, a.at)
	}
	d.scheduleCheck(a, 0)
}

func (d *crashDetector) scheduleCheck(a *endedAttempt, n int) {
	time.AfterFunc(time.Until(a.at.Add(serverChecks[n])), func() {
		if n == 0 {
			a.lostWith = d.h.Fleet.LostWith(a.member, a.at)
		}
		ended := d.hasEnded(a, n)
		if !ended && a.sound != nil && n == a.soundCheck {
			a.sound()
		}
		switch {
		case !ended && n == 0 && a.sound != nil && a.soundCheck == 0:
		case ended:
			d.recordCrash(a)
		case n+1 < len(serverChecks):
			d.scheduleCheck(a, n+1)
		}
	})
}

// hasEnded reports at a check whether the server of an attempt has ended. One that accepts
// connections has not, unless the registry, or its response, shows another one in its place.
func (d *crashDetector) hasEnded(a *endedAttempt, check int) bool {
	now := time.Now()
	if !a.unsure && a.member.EndedUnannounced(a.at.Add(serverChecks[0]), now) {
		return true
	}
	suspected := check == 0 && !a.member.ContactedSince(a.at)
	if !a.byServer {
		suspected = check <= soundCheck && !a.unsure && a.member.LostSince(a.at)
	}
	if !suspected {
		return !a.unsure && a.member.Contested(now) && d.h.addressTaken(a.member)
	}
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(probeTimeout))
	defer cancel()
	c, err := d.h.connectForQuery(ctx, a.member)
	if err != nil {
		return !errors.Is(err, errDeclines) && !d.h.partitioned()
	}
	return d.h.answersForAnother(c, a.member, now.Add(probeTimeout))
}

// answersForAnother asks who is at the address of a server, and reports whether another one is. The
// registry may not know a server yet that has taken over the address. The connection is put back, or
// closed if there is no response until the deadline.
func (h *Handler) answersForAnother(c *http1.Conn, m *fleet.Member, deadline time.Time) bool {
	path := h.healthPath(m.Service())
	if now := time.Now(); path == "" || h.Fleet.Brittle(m.Service(), now) || !h.Fleet.AllowQuery(m, h.NodeCount(), now) {
		h.Pool.Put(c)
		return false
	}
	id, err := queryHealth(c, m, path, deadline, h.Codec)
	if err != nil {
		c.Close()
		return false
	}
	h.Pool.Put(c)
	if id != "" {
		h.Fleet.RecordIdentity(m, id, time.Now())
	}
	return id != "" && id != m.ID()
}

// addressTaken asks at the address of a server who is there, and reports whether it is another one.
func (h *Handler) addressTaken(m *fleet.Member) bool {
	deadline := time.Now().Add(probeTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	c, err := h.connectForQuery(ctx, m)
	return err == nil && h.answersForAnother(c, m, deadline)
}

func (d *crashDetector) recordCrash(a *endedAttempt) {
	now := time.Now()
	if d.h.Fleet.Brittle(a.member.Service(), now) && a.member.RejectedBefore(a.at) {
		d.h.Recorder.Record("brittle server ended", Fields{"request": a.id, "server": a.member.ID()})
		return
	}
	crash := crashcause.Crash{Server: a.member.Incarnation(), At: a.at, Noticed: now, Requests: []crashcause.Request{a.request}, LostWith: a.lostWith}
	d.causes.RecordCrash(crash)
	d.h.Recorder.Record("server died", Fields{
		"request": a.id, "server": a.member.ID(), "parts": strings.Join(a.parts, ","), "starting": a.starting,
		"lost_with": len(a.lostWith), "noticed_ms": ms(now.Sub(a.at)), "ended_by_server": a.byServer,
	})
	d.h.NotifyPeers()
	d.scheduleCauses()
}

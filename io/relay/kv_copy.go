package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/core/kvbackup"
)

// kvCopyTimeout limits the time of a copy, which is longer than that of other queries
// because it is queued behind other copies.
const kvCopyTimeout = 1500 * time.Millisecond

// kvSource names the KV cache backup or copy that a stream is resumed from. The zero value
// names none.
type kvSource struct {
	server  string // ID of the server that holds it
	address string // with runID, its name on the platform
	runID   string
}

// sourceAfter returns what a stream can be resumed from after an attempt: the copy that
// replaced a lost backup, or else the backup. It is the zero value if there is none, or the
// run could not be resumed from it.
func (s *stream) sourceAfter(a *streamAttempt) kvSource {
	if x := s.newestSource(a); x != a.failedSource {
		return x
	}
	return kvSource{}
}

func (s *stream) newestSource(a *streamAttempt) kvSource {
	if a.copies != nil {
		if c, found := a.copies.Current(time.Now()); found {
			return kvSource{server: c.Server, address: a.member.Address(), runID: c.Handle}
		}
	}
	if a.backup == nil {
		return kvSource{}
	}
	return kvSource{server: a.backup.ID(), address: a.backup.Address(), runID: s.meta.ID}
}

// maintainCopy is called for each event. It starts a copy of the run's KV cache to another
// server if the server with the backup was lost and no recent copy exists.
func (s *stream) maintainCopy(a *streamAttempt) {
	now := time.Now()
	if a.copies == nil || a.member.Declines(now) || !a.copies.Begin(now, isLost(a.backup, a.started, now)) {
		return
	}
	target := s.copyTarget(a, now)
	if target == nil {
		a.copies.Fail("", now)
		return
	}
	go s.h.copyKVCache(a, target)
}

// isLost reports whether what a server has kept since a time is lost, or soon will be.
func isLost(m *fleet.Member, since, now time.Time) bool {
	return !m.Remains(now) || m.LostSince(since)
}

// copyTarget returns the server for the next copy: that of the last one, if it is still
// there, as only what is new is copied then. It returns nil if there is no room.
func (s *stream) copyTarget(a *streamAttempt, now time.Time) *fleet.Member {
	if !kvbackup.HasRoom(s.h.Fleet.KVCacheUse(s.service.Name, s.service.Engine.KVCacheTokens, now)) {
		return nil
	}
	if c, found := a.copies.Current(now); found {
		if m := s.h.Fleet.FindUsable(c.Server, now); m != nil && !isLost(m, c.At, now) {
			return m
		}
		a.copies.Drop(c.Server)
	}
	q := s.query()
	q.Exclude = a.copies.Failed()
	q.Exclude[a.backup.ID()] = true
	return s.h.Fleet.SelectBackup(q, a.member)
}

// copyKVCache asks the server of an attempt to copy the run's KV cache to another server.
func (h *Handler) copyKVCache(a *streamAttempt, target *fleet.Member) {
	start := time.Now()
	handle, err := h.requestCopy(a, target, start.Add(kvCopyTimeout))
	now := time.Now()
	f := Fields{"request": a.requestID, "server": a.member.ID(), "to": target.ID(), "ms": ms(now.Sub(start))}
	if err != nil {
		a.copies.Fail(target.ID(), now)
		f["error"] = err.Error()
		h.Recorder.Record("cache not copied", f)
		return
	}
	a.copies.Complete(kvbackup.Copy{Server: target.ID(), Handle: handle}, now)
	h.Recorder.Record("cache copied", f)
}

func (h *Handler) requestCopy(a *streamAttempt, target *fleet.Member, deadline time.Time) (string, error) {
	q, err := h.Codec.CopyRequest(a.requestID, target.Address())
	if err != nil {
		return "", err
	}
	body, err := h.queryServer(context.Background(), a.member, q, deadline)
	if err != nil {
		return "", errors.Wrapf(err, "copy KV cache from %s", a.member.ID())
	}
	return h.Codec.DecodeCopy(body)
}

// releaseCopy removes the copy of a run that was completed, as it takes memory and a slot.
func (h *Handler) releaseCopy(a *streamAttempt) {
	if a.copies == nil {
		return
	}
	c, found := a.copies.Current(time.Now())
	if !found {
		return
	}
	go func() {
		if _, err := h.queryServer(context.Background(), a.member, h.Codec.ReleaseRequest(c.Handle), time.Now().Add(reportTimeout)); err != nil {
			h.Recorder.Record("cache not released", Fields{"request": a.requestID, "server": a.member.ID(), "error": err.Error()})
		}
	}()
}

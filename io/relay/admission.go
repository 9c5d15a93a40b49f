package relay

import (
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
)

// enter returns a ticket for a stream of a service whose routes differ in their latency goal, nil for
// others.
func (x *exchange) enter() *admission.Ticket {
	tightest, differ := x.catalog.TightestGoal(x.service.Name)
	q := x.query()
	if !differ || x.route.LatencyGoal <= 0 || q.Capacity == 0 {
		return nil
	}
	return x.h.Admission.Enter(x.service.Name, tightest, admission.Request{
		Organisation: x.organisation.Name, Rank: x.priority(), Urgent: x.route.LatencyGoal <= tightest, Tokens: q.PromptTokens, Memory: q.Memory, Capacity: q.Capacity,
		Goal: x.arrived.Add(x.route.LatencyGoal - x.readDelay), Deadline: x.deadline, Hosts: q.Nodes, Informed: x.h.Fleet.PeerWorkKnown(q.Nodes, q.Now),
		Resumed: x.meta.LastEventID > 0 || x.meta.Resumes != "", Cached: q.CachedOn != "",
	}, q.Now)
}

// reserve reserves a server for the next attempt. A first attempt may wait for one, or be refused.
func (s *stream) reserve(q *fleet.Query) (m *fleet.Member) {
	if s.ticket == nil || s.reservations > 0 {
		return s.rollout.Reserve(s.h.Fleet, *q)
	}
	v := s.ticket.Await(s.ctx, func(now time.Time) bool {
		q.Now = now
		if s.refused = s.checkDraining(now); s.refused == nil {
			m = s.rollout.Reserve(s.h.Fleet, *q)
		}
		return m != nil || s.refused != nil
	})
	if s.refused == nil && v == admission.Refused {
		s.refused = fault.Newf(fault.ServerBusy, "admit", "", "the engines of the service are short, and this request could not begin before its latency goal").WithRetryAt(s.ticket.RetryAt())
	}
	if s.ticket.Held() {
		f := Fields(s.ticket.Fields(time.Now()))
		f["request"], f["organisation"], f["route"], f["outcome"] = s.meta.ID, s.organisation.Name, s.route.Name, v.String()
		s.h.Recorder.Record("admission", f)
	}
	return m
}

// class returns the priority that an attempt is sent with.
func (x *exchange) class() int {
	if x.ticket == nil {
		return x.priority()
	}
	return x.ticket.Class(x.sentAttempts > 0)
}

package node

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/claim"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/generation"
	"cicadabeam/core/holder"
	"cicadabeam/core/route"
	"cicadabeam/io/caller"
)

// dialFailureCooldown is how long a server gets no requests after a connection attempt to it
// failed.
const dialFailureCooldown = time.Second

// Admit implements caller.Backend.
func (n *Node) Admit(o config.Organisation) (func(), error) {
	now := time.Now()
	share := float64(o.RequestsPerSecond()) / float64(n.nodes.AcceptingCount(now))
	if err := n.rateLimiter.Allow(o.Name(), share, now); err != nil {
		return nil, err
	}
	return n.concurrencyLimiter.Acquire(o.Name(), o.MaxRunning())
}

// CheckQuarantine implements caller.Backend.
func (n *Node) CheckQuarantine(r holder.Request) error {
	if n.quarantine.IsQuarantined(r.Fingerprint, time.Now()) {
		return fault.Newf(fault.RequestQuarantined, "admit", "", "this request crashed the backend servers that ran it")
	}
	return n.crashes.Check(r.Service, r.Request.SharedMessages(), r.Fingerprint)
}

// StartAnswer implements caller.Backend.
func (n *Node) StartAnswer(ctx context.Context, r holder.Request) (*holder.Reader, error) {
	return n.holder.Start(ctx, r)
}

// ResumeAnswer implements caller.Backend.
func (n *Node) ResumeAnswer(ctx context.Context, r holder.Request) (*holder.Reader, error) {
	return n.holder.Resume(ctx, r)
}

// CallAtMostOnce implements caller.Backend.
func (n *Node) CallAtMostOnce(ctx context.Context, c claim.Call) (claim.Response, error) {
	return n.calls.Do(ctx, c)
}

// CallWithRetries implements caller.Backend.
func (n *Node) CallWithRetries(ctx context.Context, c claim.Call, s config.Service) (claim.Response, string, error) {
	return n.service.CallWithRetries(ctx, c, s.Attempts())
}

// Reserve implements service.Router.
func (n *Node) Reserve(ctx context.Context, c claim.Call, exclude map[string]bool) (*route.Lease, error) {
	x := n.Config()
	s, found := x.Service(c.Key.Service)
	if !found {
		return nil, fault.Newf(fault.NotFound, "route", c.Key.Service, "the service is no longer configured")
	}
	return n.router.Reserve(ctx, route.Request{Service: s, Organisation: organisation(x, c.Key.Organisation), Exclude: exclude})
}

// MarkUnreachable implements service.Router.
func (n *Node) MarkUnreachable(s config.Server) {
	n.loads.SetDown(s.Name(), time.Now().Add(dialFailureCooldown))
}

func organisation(c *config.Config, name string) config.Organisation {
	o, _ := c.Organisation(name)
	return o
}

// newJob returns the runner's job that produces an answer held by this node.
func (n *Node) newJob(a *answer.Answer, epoch uint64) (generation.Job, error) {
	h := a.Header()
	q, err := completion.Parse(h.Path, h.Body)
	if err != nil {
		return generation.Job{}, err
	}
	c := n.Config()
	s, found := c.Service(h.Service)
	if !found {
		return generation.Job{}, fault.Newf(fault.NotFound, "route", h.Service, "the service is no longer configured")
	}
	return generation.Job{
		Answer: a, Epoch: epoch, Request: q, Service: s, Organisation: organisation(c, h.Organisation),
		Fingerprint: caller.Fingerprint(h.Organisation, h.Service, h.Body),
	}, nil
}

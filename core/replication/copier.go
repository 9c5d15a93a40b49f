// Package replication copies answers to another node before their pieces are
// released to callers.
//
// Each replica has one sender, which has one call at a time under way; what comes
// meanwhile goes with the next call. An answer whose replica fails gets
// another one with the whole text. With none in reach its pieces go out
// unprotected, and a replica is looked for again and again.
//
// # Usage
//
//	c := replication.New(link, nodes, observer)
//	c.Attach(a)     // before the first piece
//	c.Notify(a)     // after each piece
//	c.Detach(a)     // when the answer has ended
package replication

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/membership"
	"cicadabeam/core/shard"
)

const (
	openWait     = 400 * time.Millisecond
	appendWait   = 600 * time.Millisecond
	reattachWait = 2 * time.Second
	candidates   = 3
)

// Result is a replica's answer to one batch or snapshot. Holder and Epoch tell
// who took over, with answer.Stale.
type Result struct {
	Status answer.Status
	Holder string
	Epoch  uint64
}

// Link carries copies to other nodes.
type Link interface {
	OpenCopy(ctx context.Context, node string, s answer.Snapshot) (Result, error)
	AppendCopies(ctx context.Context, node string, b []answer.Batch) ([]Result, error)
}

// Nodes tells which nodes can keep a copy.
type Nodes interface {
	Replicas(id string, now time.Time) []membership.Node
}

type senderName string

type answerID string

// Copier copies the answers that a node holds.
type Copier struct {
	link    Link
	nodes   Nodes
	copies  *shard.Map[answerID, *placement]
	senders *shard.Map[senderName, *sender]
	ctx     context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// New returns a copier. Close ends its goroutines.
func New(l Link, n Nodes) *Copier {
	ctx, stop := context.WithCancel(context.Background())
	return &Copier{
		link: l, nodes: n, ctx: ctx, stop: stop,
		copies:  shard.New[answerID, *placement](),
		senders: shard.New[senderName, *sender](),
	}
}

// Close ends the copying.
func (c *Copier) Close() {
	c.stop()
	c.work.Wait()
}

// placement tells where an answer's copy is.
type placement struct {
	answer *answer.Answer

	mu     sync.Mutex
	target string // "" for none
	moving bool
	retry  time.Time
}

// Attach begins to find a replica for an answer and gives it all there is. Pieces
// that are pushed meanwhile wait for it.
func (c *Copier) Attach(a *answer.Answer) {
	p := &placement{answer: a, moving: true}
	c.copies.Put(answerID(a.Header().ID), p)
	c.replace(p)
}

// Detach forgets an answer.
func (c *Copier) Detach(a *answer.Answer) {
	id := answerID(a.Header().ID)
	p, found := c.copies.Get(id)
	if found && p.answer == a {
		c.copies.Delete(id)
	}
}

// Replica returns the node that has the answer's copy, or "".
func (c *Copier) Replica(id string) string {
	p, found := c.copies.Get(answerID(id))
	if !found {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Unprotected returns the number of unfinished answers without a copy.
func (c *Copier) Unprotected() int {
	n := 0
	for _, p := range c.copies.Values() {
		_, _, done := p.answer.Progress()
		p.mu.Lock()
		if p.target == "" && !p.moving && !done {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

// place opens a copy on the first candidate that takes it.
func (c *Copier) place(ctx context.Context, p *placement) {
	s := p.answer.Snapshot()
	tried := 0
	for _, n := range c.nodes.Replicas(s.Header.ID, time.Now()) {
		if tried == candidates {
			break
		}
		tried++
		r, err := c.open(ctx, n.Name, s)
		if err != nil {
			continue
		}
		if r.Status == answer.Stale {
			p.answer.Supersede(r.Holder, r.Epoch)
			c.settle(p, "")
			return
		}
		p.answer.Acknowledge(s.Batch)
		c.settle(p, n.Name)
		return
	}
	c.settle(p, "")
}

func (c *Copier) open(ctx context.Context, node string, s answer.Snapshot) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(openWait))
	defer cancel()
	return c.link.OpenCopy(ctx, node, s)
}

func (c *Copier) settle(p *placement, target string) {
	p.mu.Lock()
	p.target = target
	p.moving = false
	p.retry = time.Now().Add(reattachWait)
	p.mu.Unlock()
	c.Notify(p.answer)
}

// Notify copies what is new in an answer, then releases it.
func (c *Copier) Notify(a *answer.Answer) {
	p, found := c.copies.Get(answerID(a.Header().ID))
	if !found || p.answer != a {
		return
	}
	p.mu.Lock()
	target, moving := p.target, p.moving
	if target == "" && !moving && time.Now().After(p.retry) {
		p.moving = true
		c.replace(p)
	}
	p.mu.Unlock()
	switch {
	case target != "":
		c.sender(target).add(p)
	case !moving:
		release(a)
	}
}

// release lets pieces out without a copy.
func release(a *answer.Answer) {
	if b, more := a.Pending(); more {
		a.Acknowledge(b)
	}
}

// replace looks for a new replica in the background.
func (c *Copier) replace(p *placement) {
	c.work.Go(func() { c.place(c.ctx, p) })
}

// lost moves the answers whose replica failed.
func (c *Copier) lost(node string, all []*placement) {
	for _, p := range all {
		p.mu.Lock()
		if p.target == node && !p.moving {
			p.target = ""
			p.moving = true
			c.replace(p)
		}
		p.mu.Unlock()
	}
}

func (c *Copier) sender(node string) *sender {
	l, found := c.senders.GetOrPut(senderName(node), func() *sender { return newSender(c, node) })
	if !found {
		c.work.Go(l.run)
	}
	return l
}

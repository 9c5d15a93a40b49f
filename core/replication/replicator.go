// Package replication copies answers to another node before their pieces are
// released to callers.
//
// There is one sender for each replica node. It makes one call at a time and
// batches the pieces that arrive in the meantime into the next call. If the replica
// of an answer fails, the whole answer is copied to another node. If no node is
// reachable, pieces are released unprotected, that is without a replica, and
// placement is retried periodically.
//
// # Usage
//
//	r := replication.New(peers, nodes)
//	r.Add(a)           // before the first piece
//	r.Replicate(a)     // after each piece
//	r.Remove(a)        // after the answer has ended
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
	openTimeout       = 400 * time.Millisecond
	appendTimeout     = 600 * time.Millisecond
	placementInterval = 2 * time.Second
	maxCandidates     = 3 // nodes tried for each placement
)

// Result is a replica's response to a batch or snapshot. If Status is answer.StatusStale,
// Holder and Epoch identify the node that took over.
type Result struct {
	Status answer.Status
	Holder string
	Epoch  uint64
}

// Peers is the transport of copies to other nodes.
type Peers interface {
	OpenCopy(ctx context.Context, node string, s answer.Snapshot) (Result, error)
	AppendCopies(ctx context.Context, node string, b []answer.Batch) ([]Result, error)
}

// Membership provides the nodes that can keep a copy of an answer, best first.
type Membership interface {
	Replicas(id string, now time.Time) []membership.Node
}

type nodeName string

type answerID string

// Replicator replicates the answers that a node produces.
type Replicator struct {
	peers      Peers
	nodes      Membership
	placements *shard.Map[answerID, *placement]
	senders    *shard.Map[nodeName, *sender]
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a replicator. Close stops its goroutines.
func New(l Peers, n Membership) *Replicator {
	ctx, stop := context.WithCancel(context.Background())
	return &Replicator{
		peers: l, nodes: n, ctx: ctx, stop: stop,
		placements: shard.New[answerID, *placement](),
		senders:    shard.New[nodeName, *sender](),
	}
}

// Close stops replication and waits for the goroutines to end.
func (c *Replicator) Close() {
	c.stop()
	c.goroutines.Wait()
}

// placement records which node has the copy of an answer.
type placement struct {
	answer *answer.Answer

	mu      sync.Mutex
	replica string    // "" if there is none
	placing bool      // a placement is in progress
	retryAt time.Time // when to try the next placement if there is no replica
}

// Add starts the replication of an answer by copying all of it to a replica in
// the background. Pieces appended in the meantime are not released until that ends.
func (c *Replicator) Add(a *answer.Answer) {
	p := &placement{answer: a, placing: true}
	c.placements.Put(answerID(a.Header().ID), p)
	c.placeInBackground(p)
}

// Remove stops the replication of an answer.
func (c *Replicator) Remove(a *answer.Answer) {
	id := answerID(a.Header().ID)
	p, found := c.placements.Get(id)
	if found && p.answer == a {
		c.placements.Delete(id)
	}
}

// Replica returns the node that has the copy of an answer, or "".
func (c *Replicator) Replica(id string) string {
	p, found := c.placements.Get(answerID(id))
	if !found {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replica
}

// Unprotected returns the number of unfinished answers without a copy.
func (c *Replicator) Unprotected() int {
	n := 0
	for _, p := range c.placements.Values() {
		_, _, done := p.answer.Progress()
		p.mu.Lock()
		if p.replica == "" && !p.placing && !done {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

// place copies the whole answer to the first candidate that accepts it.
func (c *Replicator) place(ctx context.Context, p *placement) {
	s := p.answer.Snapshot()
	tried := 0
	for _, n := range c.nodes.Replicas(s.Header.ID, time.Now()) {
		if tried == maxCandidates {
			break
		}
		tried++
		r, err := c.open(ctx, n.Name, s)
		if err != nil {
			continue
		}
		if r.Status == answer.StatusStale {
			p.answer.Supersede(r.Holder, r.Epoch)
			c.finishPlacement(p, "")
			return
		}
		p.answer.Acknowledge(s.Batch)
		c.finishPlacement(p, n.Name)
		return
	}
	c.finishPlacement(p, "")
}

func (c *Replicator) open(ctx context.Context, node string, s answer.Snapshot) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(openTimeout))
	defer cancel()
	return c.peers.OpenCopy(ctx, node, s)
}

// finishPlacement records the result of a placement.
func (c *Replicator) finishPlacement(p *placement, replica string) {
	p.mu.Lock()
	p.replica = replica
	p.placing = false
	p.retryAt = time.Now().Add(placementInterval)
	p.mu.Unlock()
	c.Replicate(p.answer)
}

// Replicate copies the new pieces of an answer to its replica and then releases them.
// Without a replica it releases them at once and retries placement when due. During
// a placement they wait until it has finished.
func (c *Replicator) Replicate(a *answer.Answer) {
	p, found := c.placements.Get(answerID(a.Header().ID))
	if !found || p.answer != a {
		return
	}
	p.mu.Lock()
	replica, placing := p.replica, p.placing
	if replica == "" && !placing && time.Now().After(p.retryAt) {
		p.placing = true
		c.placeInBackground(p)
	}
	p.mu.Unlock()
	switch {
	case replica != "":
		c.sender(replica).enqueue(p)
	case !placing:
		releaseUnprotected(a)
	}
}

// releaseUnprotected releases pieces that have no copy.
func releaseUnprotected(a *answer.Answer) {
	if b, more := a.Unreplicated(); more {
		a.Acknowledge(b)
	}
}

// placeInBackground looks for a replica in the background.
func (c *Replicator) placeInBackground(p *placement) {
	c.goroutines.Go(func() { c.place(c.ctx, p) })
}

// replaceReplica looks for new replicas of answers whose replica on node failed.
func (c *Replicator) replaceReplica(node string, all []*placement) {
	for _, p := range all {
		p.mu.Lock()
		if p.replica == node && !p.placing {
			p.replica = ""
			p.placing = true
			c.placeInBackground(p)
		}
		p.mu.Unlock()
	}
}

func (c *Replicator) sender(node string) *sender {
	s, found := c.senders.GetOrPut(nodeName(node), func() *sender { return newSender(c, node) })
	if !found {
		c.goroutines.Go(s.run)
	}
	return s
}

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

// Replicator replicates the answers that a node generates.
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
func New(p Peers, n Membership) *Replicator {
	ctx, stop := context.WithCancel(context.Background())
	return &Replicator{
		peers: p, nodes: n, ctx: ctx, stop: stop,
		placements: shard.New[answerID, *placement](),
		senders:    shard.New[nodeName, *sender](),
	}
}

// Close stops replication and waits for the goroutines to end.
func (r *Replicator) Close() {
	r.stop()
	r.goroutines.Wait()
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
func (r *Replicator) Add(a *answer.Answer) {
	p := &placement{answer: a, placing: true}
	r.placements.Put(answerID(a.Header().ID), p)
	r.placeInBackground(p)
}

// Remove stops the replication of an answer.
func (r *Replicator) Remove(a *answer.Answer) {
	id := answerID(a.Header().ID)
	p, found := r.placements.Get(id)
	if found && p.answer == a {
		r.placements.Delete(id)
	}
}

// Replica returns the node that has the copy of an answer, or "".
func (r *Replicator) Replica(id string) string {
	p, found := r.placements.Get(answerID(id))
	if !found {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replica
}

// Unprotected returns the number of unfinished answers without a copy.
func (r *Replicator) Unprotected() int {
	n := 0
	for _, p := range r.placements.Values() {
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
func (r *Replicator) place(ctx context.Context, p *placement) {
	s := p.answer.Snapshot()
	tried := 0
	for _, n := range r.nodes.Replicas(s.Header.ID, time.Now()) {
		if tried == maxCandidates {
			break
		}
		tried++
		x, err := r.open(ctx, n.Name, s)
		if err != nil {
			continue
		}
		if x.Status == answer.StatusStale {
			p.answer.Supersede(x.Holder, x.Epoch)
			r.finishPlacement(p, "")
			return
		}
		p.answer.Acknowledge(s.Batch)
		r.finishPlacement(p, n.Name)
		return
	}
	r.finishPlacement(p, "")
}

func (r *Replicator) open(ctx context.Context, node string, s answer.Snapshot) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(openTimeout))
	defer cancel()
	return r.peers.OpenCopy(ctx, node, s)
}

// finishPlacement records the result of a placement.
func (r *Replicator) finishPlacement(p *placement, replica string) {
	p.mu.Lock()
	p.replica = replica
	p.placing = false
	p.retryAt = time.Now().Add(placementInterval)
	p.mu.Unlock()
	r.Replicate(p.answer)
}

// Replicate copies the new pieces of an answer to its replica and then releases them.
// Without a replica it releases them at once and retries placement when due. During
// a placement they wait until it has finished.
func (r *Replicator) Replicate(a *answer.Answer) {
	p, found := r.placements.Get(answerID(a.Header().ID))
	if !found || p.answer != a {
		return
	}
	p.mu.Lock()
	replica, placing := p.replica, p.placing
	if replica == "" && !placing && time.Now().After(p.retryAt) {
		p.placing = true
		r.placeInBackground(p)
	}
	p.mu.Unlock()
	switch {
	case replica != "":
		r.sender(replica).enqueue(p)
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
func (r *Replicator) placeInBackground(p *placement) {
	r.goroutines.Go(func() { r.place(r.ctx, p) })
}

// replaceReplica looks for new replicas of answers whose replica on node failed.
func (r *Replicator) replaceReplica(node string, all []*placement) {
	for _, p := range all {
		p.mu.Lock()
		if p.replica == node && !p.placing {
			p.replica = ""
			p.placing = true
			r.placeInBackground(p)
		}
		p.mu.Unlock()
	}
}

func (r *Replicator) sender(node string) *sender {
	s, found := r.senders.GetOrPut(nodeName(node), func() *sender { return newSender(r, node) })
	if !found {
		r.goroutines.Go(s.run)
	}
	return s
}

package replication

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/answer"
)

// sender sends batches to one replica node.
type sender struct {
	replicator *Replicator
	node       string
	wake       chan struct{}

	mu      sync.Mutex
	pending map[*placement]bool // answers that may have new pieces
}

func newSender(r *Replicator, node string) *sender {
	return &sender{replicator: r, node: node, wake: make(chan struct{}, 1), pending: make(map[*placement]bool)}
}

func (s *sender) enqueue(p *placement) {
	s.mu.Lock()
	s.pending[p] = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sender) run() {
	for {
		select {
		case <-s.replicator.ctx.Done():
			return
		case <-s.wake:
			s.flush()
		}
	}
}

// takePending removes and returns all pending answers.
func (s *sender) takePending() []*placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*placement, 0, len(s.pending))
	for p := range s.pending {
		all = append(all, p)
	}
	clear(s.pending)
	return all
}

// flush sends the new pieces of all pending answers in one call.
func (s *sender) flush() {
	var sent []*placement
	var batches []answer.Batch
	for _, p := range s.takePending() {
		b, more := p.answer.Unreplicated()
		if !more || !s.isReplicaOf(p) {
			continue
		}
		sent = append(sent, p)
		batches = append(batches, b)
	}
	if len(batches) == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(s.replicator.ctx, time.Now().Add(appendTimeout))
	defer cancel()
	results, err := s.replicator.peers.AppendCopies(ctx, s.node, batches)
	if err != nil || len(results) != len(batches) {
		s.replicator.replaceReplica(s.node, sent)
		return
	}
	for i, r := range results {
		s.handleResult(sent[i], batches[i], r)
	}
}

// isReplicaOf reports whether the sender's node is still the replica of the answer.
func (s *sender) isReplicaOf(p *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replica == s.node
}

func (s *sender) handleResult(p *placement, b answer.Batch, r Result) {
	switch r.Status {
	case answer.StatusApplied:
		p.answer.Acknowledge(b)
	case answer.StatusStale:
		p.answer.Supersede(r.Holder, r.Epoch)
	case answer.StatusGap:
		s.replicator.replaceReplica(s.node, []*placement{p})
	}
}

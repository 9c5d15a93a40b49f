package replication

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/answer"
)

// sender sends the copies for one replica.
type sender struct {
	copier *Copier
	node   string
	wake   chan struct{}

	mu    sync.Mutex
	dirty map[*placement]bool
}

func newSender(c *Copier, node string) *sender {
	return &sender{copier: c, node: node, wake: make(chan struct{}, 1), dirty: make(map[*placement]bool)}
}

func (l *sender) add(p *placement) {
	l.mu.Lock()
	l.dirty[p] = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *sender) run() {
	for {
		select {
		case <-l.copier.ctx.Done():
			return
		case <-l.wake:
			l.flush()
		}
	}
}

func (l *sender) take() []*placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*placement, 0, len(l.dirty))
	for p := range l.dirty {
		all = append(all, p)
	}
	clear(l.dirty)
	return all
}

// flush sends one call with what is new in all waiting answers.
func (l *sender) flush() {
	var sent []*placement
	var batches []answer.Batch
	for _, p := range l.take() {
		b, more := p.answer.Pending()
		if !more || !l.serves(p) {
			continue
		}
		sent = append(sent, p)
		batches = append(batches, b)
	}
	if len(batches) == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(l.copier.ctx, time.Now().Add(appendWait))
	defer cancel()
	results, err := l.copier.link.AppendCopies(ctx, l.node, batches)
	if err != nil || len(results) != len(batches) {
		l.copier.lost(l.node, sent)
		return
	}
	for i, r := range results {
		l.settle(sent[i], batches[i], r)
	}
}

func (l *sender) serves(p *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target == l.node
}

func (l *sender) settle(p *placement, b answer.Batch, r Result) {
	switch r.Status {
	case answer.Applied:
		p.answer.Acknowledge(b)
	case answer.Stale:
		p.answer.Supersede(r.Holder, r.Epoch)
	case answer.Gap:
		l.copier.lost(l.node, []*placement{p})
	}
}

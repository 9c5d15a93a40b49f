package replication

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/answer"
)

// lane sends the copies for one replica.
type lane struct {
	copier *Copier
	node   string
	wake   chan struct{}

	mu    sync.Mutex
	dirty map[*placement]bool
}

func newLane(c *Copier, node string) *lane {
	return &lane{copier: c, node: node, wake: make(chan struct{}, 1), dirty: make(map[*placement]bool)}
}

func (l *lane) add(p *placement) {
	l.mu.Lock()
	l.dirty[p] = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) run() {
	for {
		select {
		case <-l.copier.ctx.Done():
			return
		case <-l.wake:
			l.flush()
		}
	}
}

func (l *lane) take() []*placement {
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
func (l *lane) flush() {
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

func (l *lane) serves(p *placement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target == l.node
}

func (l *lane) settle(p *placement, b answer.Batch, r Result) {
	switch r.Status {
	case answer.Applied:
		p.answer.Acknowledge(b)
	case answer.Stale:
		p.answer.Supersede(r.Holder, r.Epoch)
	case answer.Gap:
		l.copier.lost(l.node, []*placement{p})
	}
}

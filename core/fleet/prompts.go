package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptRetention is how long the server that processed a prompt is remembered.
	// Callers retry within seconds, and servers evict prompts that have not been used
	// for long.
	promptRetention = 30 * time.Second
	// maxPrompts limits the number of prompts remembered.
	maxPrompts = 8192
	// returningCostSlack is how much higher the cost of a server may be that has
	// probably processed the prompt of a returning caller.
	returningCostSlack = 1200 * time.Millisecond
)

// PromptIndex records which server processed a prompt last. A caller whose answer was
// interrupted sends the prompt again, and that server need not process it a second time.
type PromptIndex struct {
	mu      sync.Mutex
	entries map[string]promptEntry
}

type promptEntry struct {
	server string
	at     time.Time
	own    bool // learnt by this node, not reported by another one
}

// NewPromptIndex returns an empty index.
func NewPromptIndex() *PromptIndex { return &PromptIndex{entries: make(map[string]promptEntry)} }

// RecordSent records that this node sent a prompt to a server.
func (p *PromptIndex) RecordSent(prompt, server string, now time.Time) {
	p.record(prompt, promptEntry{server: server, at: now, own: true})
}

// RecordIfUnknown records that a server has a prompt cached, as it reported to this node,
// unless another server is already known.
func (p *PromptIndex) RecordIfUnknown(prompt, server string, now time.Time) {
	if p.Server(prompt, now) == "" {
		p.record(prompt, promptEntry{server: server, at: now, own: true})
	}
}

// RecordFromPeer records that a server processes a prompt, as reported by another node.
func (p *PromptIndex) RecordFromPeer(prompt, server string, now time.Time) {
	p.record(prompt, promptEntry{server: server, at: now})
}

func (p *PromptIndex) record(prompt string, e promptEntry) {
	if prompt == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) >= maxPrompts {
		p.expire(e.at)
	}
	if len(p.entries) < maxPrompts {
		p.entries[prompt] = e
	}
}

func (p *PromptIndex) expire(now time.Time) {
	for prompt, e := range p.entries {
		if now.Sub(e.at) > promptRetention {
			delete(p.entries, prompt)
		}
	}
}

// Server returns the server that processed a prompt, or "" if unknown.
func (p *PromptIndex) Server(prompt string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.entries[prompt]
	if !found || now.Sub(e.at) > promptRetention {
		return ""
	}
	return e.server
}

// LearntSince returns the prompts that this node sent, or found on a server, at or after t,
// with their servers.
func (p *PromptIndex) LearntSince(t time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]string)
	for prompt, e := range p.entries {
		if e.own && !e.at.Before(t) {
			all[prompt] = e.server
		}
	}
	return all
}

// Expire removes entries older than promptRetention.
func (p *PromptIndex) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// rank orders servers by rendezvous hashing: differently for each prompt, but in the
// same order on all nodes.
func rank(prompt, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Package promptindex records which server processed a prompt last.
//
// # Usage
//
//	p := promptindex.New()
//	p.RecordSent(hash, "s1", now)
//	server := p.Server(hash, now) // "" if unknown
package promptindex

import (
	"sync"
	"time"
)

const (
	// retention is how long the server that processed a prompt is remembered.
	// Callers retry within seconds, and servers evict prompts that have not been used
	// for long.
	retention = 30 * time.Second
	// maxPrompts limits the number of prompts remembered.
	maxPrompts = 8192
)

// Index records which server processed a prompt last. A caller whose answer was
// interrupted sends the prompt again, and that server need not process it a second time.
type Index struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	server string
	at     time.Time
	own    bool // learnt by this node, not reported by another one
}

// New returns an empty index.
func New() *Index { return &Index{entries: make(map[string]entry)} }

// RecordSent records that this node sent a prompt to a server.
func (p *Index) RecordSent(prompt, server string, now time.Time) {
	p.record(prompt, entry{server: server, at: now, own: true})
}

// RecordIfUnknown records that a server has a prompt cached, as it reported to this node,
// unless another server is already known.
func (p *Index) RecordIfUnknown(prompt, server string, now time.Time) {
	if p.Server(prompt, now) == "" {
		p.record(prompt, entry{server: server, at: now, own: true})
	}
}

// RecordFromPeer records that a server processes a prompt, as reported by another node.
func (p *Index) RecordFromPeer(prompt, server string, now time.Time) {
	p.record(prompt, entry{server: server, at: now})
}

func (p *Index) record(prompt string, e entry) {
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

func (p *Index) expire(now time.Time) {
	for prompt, e := range p.entries {
		if now.Sub(e.at) > retention {
			delete(p.entries, prompt)
		}
	}
}

// Server returns the server that processed a prompt, or "" if unknown.
func (p *Index) Server(prompt string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.entries[prompt]
	if !found || now.Sub(e.at) > retention {
		return ""
	}
	return e.server
}

// LearntSince returns the prompts that this node sent, or found on a server, at or after t,
// with their servers.
func (p *Index) LearntSince(t time.Time) map[string]string {
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

// Expire removes entries older than retention.
func (p *Index) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// Package promptindex records which server processed a prompt last. A caller whose answer was
// interrupted sends the prompt again, and that server need not process it a second time.
//
// # Usage
//
//	x := promptindex.New()
//	x.RecordSent(prompt, server, now)
//	server := x.Server(prompt, now)   // "" if unknown
package promptindex

import (
	"sync"
	"time"
)

const (
	// promptRetention is how long the server that processed a prompt is remembered.
	// Callers retry within seconds, and servers evict prompts that have not been used
	// for long.
	promptRetention = 30 * time.Second
	// maxPrompts limits the number of prompts remembered.
	maxPrompts = 8192
)

// Index holds the servers of recent prompts.
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
func (x *Index) RecordSent(prompt, server string, now time.Time) {
	x.record(prompt, entry{server: server, at: now, own: true})
}

// RecordIfUnknown records that a server has a prompt cached, as it reported to this node,
// unless another server is already known.
func (x *Index) RecordIfUnknown(prompt, server string, now time.Time) {
	if x.Server(prompt, now) == "" {
		x.record(prompt, entry{server: server, at: now, own: true})
	}
}

// RecordFromPeer records that a server processes a prompt, as reported by another node.
func (x *Index) RecordFromPeer(prompt, server string, now time.Time) {
	x.record(prompt, entry{server: server, at: now})
}

func (x *Index) record(prompt string, e entry) {
	if prompt == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.entries) >= maxPrompts {
		x.expire(e.at)
	}
	if len(x.entries) < maxPrompts {
		x.entries[prompt] = e
	}
}

func (x *Index) expire(now time.Time) {
	for prompt, e := range x.entries {
		if now.Sub(e.at) > promptRetention {
			delete(x.entries, prompt)
		}
	}
}

// Server returns the server that processed a prompt, or "" if unknown.
func (x *Index) Server(prompt string, now time.Time) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, found := x.entries[prompt]
	if !found || now.Sub(e.at) > promptRetention {
		return ""
	}
	return e.server
}

// LearntSince returns the prompts that this node sent, or found on a server, at or after t,
// with their servers.
func (x *Index) LearntSince(t time.Time) map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make(map[string]string)
	for prompt, e := range x.entries {
		if e.own && !e.at.Before(t) {
			all[prompt] = e.server
		}
	}
	return all
}

// Expire removes entries older than promptRetention.
func (x *Index) Expire(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
}

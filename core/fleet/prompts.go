package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// promptKept is how long it is remembered which server read a prompt. Callers
	// come back within seconds, and servers drop what was not used for long.
	promptKept = 30 * time.Second
	// promptLimit bounds the prompts remembered.
	promptLimit = 8192
	// returnSlack is by how much worse the server may be on which a prompt that comes
	// again was likely read.
	returnSlack = 1200 * time.Millisecond
)

// Prompts remembers which server read a prompt last. A caller whose answer broke off
// sends its prompt again; that server need not read it again.
type Prompts struct {
	mu    sync.Mutex
	where map[string]readAt
}

type readAt struct {
	server string
	at     time.Time
	own    bool // this node sent it there
}

// NewPrompts returns an empty memory.
func NewPrompts() *Prompts { return &Prompts{where: make(map[string]readAt)} }

// Note remembers that a server reads a prompt that this node sent there.
func (p *Prompts) Note(prompt, server string, now time.Time) {
	p.note(prompt, readAt{server: server, at: now, own: true})
}

// Found remembers that a server keeps a prompt, as it told this node, unless
// something is known of the prompt.
func (p *Prompts) Found(prompt, server string, now time.Time) {
	if p.Server(prompt, now) == "" {
		p.note(prompt, readAt{server: server, at: now, own: true})
	}
}

// Heard remembers that a server reads a prompt, as another node told.
func (p *Prompts) Heard(prompt, server string, now time.Time) {
	p.note(prompt, readAt{server: server, at: now})
}

func (p *Prompts) note(prompt string, r readAt) {
	if prompt == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.where) >= promptLimit {
		p.expire(r.at)
	}
	if len(p.where) < promptLimit {
		p.where[prompt] = r
	}
}

func (p *Prompts) expire(now time.Time) {
	for prompt, r := range p.where {
		if now.Sub(r.at) > promptKept {
			delete(p.where, prompt)
		}
	}
}

// Server returns the server that read a prompt, or "".
func (p *Prompts) Server(prompt string, now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, found := p.where[prompt]
	if !found || now.Sub(r.at) > promptKept {
		return ""
	}
	return r.server
}

// Since returns the prompts that this node sent since a time, with their servers.
func (p *Prompts) Since(t time.Time) map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]string)
	for prompt, r := range p.where {
		if r.own && !r.at.Before(t) {
			all[prompt] = r.server
		}
	}
	return all
}

// Expire forgets old prompts.
func (p *Prompts) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
}

// rank orders servers differently for each prompt, and alike on all nodes.
func rank(prompt, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

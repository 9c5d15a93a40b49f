// Package bytebudget limits the bytes that a host buffers of requests and responses, over all its
// connections together. Each holder takes bytes before its buffer grows. When they are short, the
// holder that holds most gives way, so that small requests and responses always find room.
//
// # Usage
//
//	b := bytebudget.New(64 << 20)
//	h := b.Hold("response", conn.Interrupt)
//	defer h.Release()
//	body, err := bytebudget.ReadAll(response.Body, 256<<10, response.ContentLength, h)
//	errors.Is(err, bytebudget.ErrSpent) // there is no room
package bytebudget

import (
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// floor is what each holder may hold at any time, in bytes: an ordinary head or response.
	floor = 8 << 10
	// largeSize is the size in bytes from which a holder leaves a quarter of the budget to others.
	largeSize = 64 << 10
)

// ErrSpent is returned when there is no room for further bytes.
var ErrSpent = errors.New("this host has no room to buffer more")

// Refusal describes bytes that were not granted.
type Refusal struct {
	Kind    string
	Asked   int64 // bytes; 0 if the holder was evicted
	Holds   int64 // bytes that the holder has
	Held    int64 // bytes that all holders have
	Limit   int64 // bytes
	Evicted bool  // the holder was made to give way to others
}

// Budget is a number of bytes that holders share. Its methods may be called by several
// goroutines at once.
type Budget struct {
	limit    int64
	mu       sync.Mutex
	held     int64
	leaving  int64                // held by holders that were evicted
	large    map[*Holder]struct{} // holders above floor that can be evicted
	refusals map[string]int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, large: make(map[*Holder]struct{}), refusals: make(map[string]int64)}
}

// Hold returns a holder of no bytes. evict makes the holder release what it holds soon; it is called
// once at most, and must not block or call the budget. A holder without it can't be evicted. The
// holder of a nil budget may hold any number of bytes.
func (b *Budget) Hold(kind string, evict func()) *Holder {
	return &Holder{budget: b, kind: kind, evict: evict}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refusals returns how often bytes were refused, or a holder was evicted, by kind.
func (b *Budget) Refusals() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]int64, len(b.refusals))
	for kind, n := range b.refusals {
		all[kind] = n
	}
	return all
}

// Holder holds bytes of a budget. A nil Holder may hold any number.
type Holder struct {
	budget  *Budget
	kind    string
	evict   func()
	held    int64
	evicted bool
	refusal *Refusal
}

// Take takes n further bytes. It returns ErrSpent if there is no room for them, and once the holder
// was evicted. It doesn't wait.
func (h *Holder) Take(n int) error { return h.Replace(0, n) }

// Replace takes the bytes of a buffer that replaces a smaller one, which the caller gives back once
// it has copied it. It returns ErrSpent as Take does.
func (h *Holder) Replace(from, to int) error {
	if h == nil || h.budget == nil {
		return nil
	}
	evictions, err := h.budget.take(h, int64(to), int64(from))
	for _, evict := range evictions {
		evict()
	}
	return err
}

// Give gives n bytes back.
func (h *Holder) Give(n int) {
	if h != nil && h.budget != nil {
		h.budget.give(h, int64(n))
	}
}

// Release gives all bytes back.
func (h *Holder) Release() {
	if h != nil && h.budget != nil {
		h.budget.give(h, -1)
	}
}

// Keep makes the holder one that can't be evicted any more. It returns ErrSpent if it was evicted
// before.
func (h *Holder) Keep() error {
	if h == nil || h.budget == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.large, h)
	h.evict = nil
	if h.evicted {
		return ErrSpent
	}
	return nil
}

// HasRoom reports whether the holder would get n further bytes now.
func (h *Holder) HasRoom(n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fits(h, n, 0) || b.largest() != nil && b.largest().held > h.held+n {
		return true
	}
	b.refuse(h, n)
	return false
}

// Refused returns why the holder got no more bytes, nil if it got all that it asked for.
func (h *Holder) Refused() *Refusal {
	if h == nil || h.budget == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.refusal
}

// take grants n bytes, which replace others of the holder, or returns ErrSpent. The evict functions
// of the holders that give way are to be called.
func (b *Budget) take(h *Holder, n, replaced int64) ([]func(), error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return nil, ErrSpent
	}
	var evictions []func()
	for !b.fits(h, n, replaced) {
		v := b.largest()
		if v == nil || v.held <= h.held+n-replaced || b.leaving > 0 && b.leaving+v.held > b.limit/4 {
			b.refuse(h, n)
			return evictions, ErrSpent
		}
		b.expel(v)
		evictions = append(evictions, v.evict)
	}
	h.held += n
	b.held += n
	if h.held > floor && h.evict != nil {
		b.large[h] = struct{}{}
	}
	return evictions, nil
}

// fits reports whether there is room for n bytes more for a holder, which replace others of it. What
// evicted holders have is about to become free. The size of a holder is what it keeps.
func (b *Budget) fits(h *Holder, n, replaced int64) bool {
	limit, size := b.limit, h.held+n-replaced
	if size > largeSize {
		limit -= limit / 4
	}
	return size <= floor || b.held-b.leaving+n <= limit
}

// largest returns the holder with most bytes of those that can be evicted, nil if there is none.
func (b *Budget) largest() *Holder {
	var l *Holder
	for h := range b.large {
		if l == nil || h.held > l.held {
			l = h
		}
	}
	return l
}

// expel marks a holder as evicted.
func (b *Budget) expel(h *Holder) {
	h.evicted = true
	b.leaving += h.held
	delete(b.large, h)
	b.refuse(h, 0)
	h.refusal.Evicted = true
}

func (b *Budget) refuse(h *Holder, n int64) {
	h.refusal = &Refusal{Kind: h.kind, Asked: n, Holds: h.held, Held: b.held, Limit: b.limit}
	b.refusals[h.kind]++
}

// give gives n bytes of a holder back, all if n is negative.
func (b *Budget) give(h *Holder, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 {
		n = h.held
	}
	h.held -= n
	b.held -= n
	if h.evicted {
		b.leaving -= n
	}
	if h.held <= floor {
		delete(b.large, h)
	}
}

// Package answer holds the answers in progress: on the node that produces one
// (its holder) and on the node that keeps a copy (its replica).
//
// A piece of an answer is released to callers only once the replica has it, or
// when no replica can be reached. A replica promotes another node by raising
// the epoch; from then on it refuses the copies of the former holder, which so
// releases nothing more.
//
// # Usage
//
//	a := answer.New(header, "node-1", 1)
//	err := a.Push(1, "token", 1)           // holder: one piece from the engine
//	b, more := a.Pending()                 // holder: what the replica lacks
//	s := replica.Apply(b)                  // replica: takes the copy
//	a.Acknowledge(b)                       // holder: releases it
//	v := a.Read(0)                         // callers: what was released
//	<-v.Changed()
package answer

import (
	"sync"
	"time"
)

// Header is what stays the same about an answer.
type Header struct {
	ID           string
	Organisation string
	Service      string
	Path         string
	Body         []byte
	BodyHash     uint64
	Keyed        bool  // the caller chose the key, and may come back with it
	Created      int64 // Unix time in seconds
}

// Usage counts tokens as the engines report them.
type Usage struct {
	Prompt     int
	Completion int
}

// Finish tells how an answer ended. A reason of "" means it has not ended.
type Finish struct {
	Reason string
	// Code, Message, Step, Peer and Status describe a failed answer.
	Code    string
	Message string
	Step    string
	Peer    string
	Status  int
	RetryAt int64 // Unix time in milliseconds, 0 for none
	Ran     string
}

// Failed is the reason of an answer that ended with an error.
const Failed = "cicadabeam_failed"

// Done tells whether the answer has ended.
func (f Finish) Done() bool { return f.Reason != "" }

// Batch is a part of an answer on its way from the holder to the replica.
type Batch struct {
	ID     string
	Epoch  uint64
	From   int
	Pieces []string
	Usage  Usage
	Finish Finish
}

func (b Batch) end() int { return b.From + len(b.Pieces) }

// Status is a replica's answer to a batch.
type Status int

// Applied: the replica has it. Gap: the replica lacks what comes before, or
// doesn't know the answer. Stale: another holder has taken over.
const (
	Applied Status = iota
	Gap
	Stale
)

// Snapshot is the whole of an answer, for a new replica or a new holder.
type Snapshot struct {
	Header Header
	Holder string
	Epoch  uint64
	Batch  Batch
}

// Answer is one answer on one node.
type Answer struct {
	mu           sync.Mutex
	header       Header
	holder       string
	epoch        uint64
	transcript   transcript
	usage        Usage
	finish       Finish
	copied       int
	released     int
	finishCopied bool
	finishOut    bool
	summarised   bool
	changed      chan struct{}
	readers      int
	idleSince    time.Time
	stop         func()
}

// New returns an empty answer.
func New(h Header, holder string, epoch uint64) *Answer {
	return &Answer{header: h, holder: holder, epoch: epoch, changed: make(chan struct{}), idleSince: time.Now()}
}

// FromSnapshot returns an answer that has all of s released, held by holder.
func FromSnapshot(s Snapshot) *Answer {
	a := New(s.Header, s.Holder, s.Epoch)
	a.takeCopy(s.Batch, 0)
	return a
}

// takeCopy adds what a batch has from its piece skip on, and the rest of it. What a
// copy has is released.
func (a *Answer) takeCopy(b Batch, skip int) {
	for i := skip; i < len(b.Pieces); i++ {
		a.transcript.append(b.Pieces[i])
	}
	a.usage = b.Usage
	a.finish = b.Finish
	a.copied = a.transcript.len()
	a.released = a.copied
	a.finishCopied = a.finish.Done()
	a.finishOut = a.finish.Done()
}

// Header returns what stays the same.
func (a *Answer) Header() Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.header
}

// Summarise replaces the request's body, which may be large, by what is needed of
// it once the answer has ended. Its hash stays.
func (a *Answer) Summarise(summary func(path string, body []byte) []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.summarised || !a.ended() {
		return
	}
	a.summarised = true
	a.header.Body = summary(a.header.Path, a.header.Body)
}

// Ended tells whether the answer has ended and all of it is released.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended()
}

func (a *Answer) ended() bool { return a.finishOut && a.released == a.transcript.len() }

// Holder returns the node that produces the answer, and its epoch.
func (a *Answer) Holder() (string, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder, a.epoch
}

// SetStop sets what ends the answer's generation when it is superseded or
// given up.
func (a *Answer) SetStop(stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
}

// Push adds a piece that the engine sent. It returns false when the node is no
// longer the holder under epoch.
func (a *Answer) Push(epoch uint64, text string, u Usage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch || a.finish.Done() {
		return false
	}
	a.transcript.append(text)
	a.usage = u
	return true
}

// End ends the answer. It returns false when the node is no longer the holder
// under epoch or the answer has ended before.
func (a *Answer) End(epoch uint64, f Finish, u Usage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch || a.finish.Done() {
		return false
	}
	a.finish = f
	a.usage = u
	return true
}

// Pending returns what the replica lacks and whether there is any.
func (a *Answer) Pending() (Batch, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.batch(a.copied)
	more := len(b.Pieces) > 0 || (a.finish.Done() && !a.finishCopied)
	return b, more
}

func (a *Answer) batch(from int) Batch {
	n := a.transcript.len()
	return Batch{ID: a.header.ID, Epoch: a.epoch, From: from, Pieces: a.transcript.slice(from, n), Usage: a.usage, Finish: a.finish}
}

// Acknowledge releases a batch that the replica has, or that goes out without
// one.
func (a *Answer) Acknowledge(b Batch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Epoch != a.epoch {
		return
	}
	a.copied = max(a.copied, b.end())
	a.released = max(a.released, b.end())
	if b.Finish.Done() {
		a.finishCopied = true
		a.finishOut = true
	}
	a.signal()
}

// Snapshot returns the whole answer, released or not.
func (a *Answer) Snapshot() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshot()
}

func (a *Answer) snapshot() Snapshot {
	return Snapshot{Header: a.header, Holder: a.holder, Epoch: a.epoch, Batch: a.batch(0)}
}

// Apply takes a batch on the replica.
func (a *Answer) Apply(b Batch) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Epoch < a.epoch {
		return Stale
	}
	n := a.transcript.len()
	if b.Epoch > a.epoch || b.From > n {
		return Gap
	}
	if a.surpasses(b) {
		return Applied
	}
	a.takeCopy(b, n-b.From)
	a.signal()
	return Applied
}

// surpasses tells whether a batch of the present epoch brings nothing: it was held
// up on its way, and the copy has more.
func (a *Answer) surpasses(b Batch) bool {
	return a.finish.Done() || b.end() < a.transcript.len()
}

// Adopt replaces what the replica has by the whole answer of a holder. It
// refuses a holder of a lower epoch, and another holder of the same epoch.
func (a *Answer) Adopt(s Snapshot) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Epoch < a.epoch || (s.Epoch == a.epoch && s.Holder != a.holder) {
		return Stale
	}
	if s.Epoch == a.epoch && a.surpasses(s.Batch) {
		return Applied
	}
	a.holder = s.Holder
	a.epoch = s.Epoch
	a.transcript = transcript{}
	a.takeCopy(s.Batch, 0)
	a.signal()
	return Applied
}

// Promote makes another node the holder under the next epoch, provided that
// the answer is still at epoch. It returns the answer as the new holder gets
// it.
func (a *Answer) Promote(epoch uint64, holder string) (Snapshot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch {
		return Snapshot{}, false
	}
	a.epoch++
	a.holder = holder
	a.signal()
	return a.snapshot(), true
}

// Supersede notes that another node holds the answer under a higher epoch. What
// was not released is dropped.
func (a *Answer) Supersede(holder string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch <= a.epoch {
		return
	}
	a.epoch = epoch
	a.holder = holder
	a.transcript.truncate(a.released)
	a.copied = a.released
	if !a.finishOut {
		a.finish = Finish{}
	}
	if a.stop != nil {
		a.stop()
	}
	a.signal()
}

func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

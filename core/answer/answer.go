// Package answer implements the replicated state of a streamed answer, both on
// the node that generates it (the holder) and on the node that keeps a copy of
// it (the replica).
//
// A piece of an answer is released to callers only after the replica has
// acknowledged it, or when no replica can be reached. A replica promotes another
// node to holder by incrementing the epoch. From then on it rejects batches from
// the previous holder, which therefore cannot release any further pieces.
//
// # Usage
//
//	a := answer.New(header, "node-1", 1)
//	ok := a.Append(1, "token", usage)      // holder: append one piece from the engine
//	b, more := a.Unreplicated()            // holder: get the pieces not yet replicated
//	s := replica.ApplyBatch(b)             // replica: apply the batch
//	a.Acknowledge(b)                       // holder: release the batch
//	v := a.Read(0)                         // caller: read the released pieces
//	<-v.Changed()
package answer

import (
	"sync"
	"time"
)

// Header holds the immutable properties of an answer. Only Body may later be
// replaced by a minimal body, see CompactBody.
type Header struct {
	ID           string
	Organisation string
	Service      string
	Path         string
	Body         []byte
	BodyHash     uint64
	Keyed        bool  // the caller supplied an idempotency key and may retry with it
	Created      int64 // Unix time in seconds
}

// Usage counts tokens as the engines report them.
type Usage struct {
	Prompt     int
	Completion int
}

// Finish describes how an answer ended. An empty Reason means that it has not
// ended.
type Finish struct {
	Reason string
	// The remaining fields describe the error if Reason is ReasonFailed.
	Code    string
	Message string
	Step    string
	Peer    string
	Status  int
	RetryAt int64 // Unix time in milliseconds, 0 if unset
	Ran     string
}

// ReasonFailed is the Finish.Reason of an answer that ended with an error.
const ReasonFailed = "cicadabeam_failed"

// Done reports whether the answer has ended.
func (f Finish) Done() bool { return f.Reason != "" }

// Batch is a range of pieces that the holder sends to the replica.
type Batch struct {
	ID     string
	Epoch  uint64
	From   int
	Pieces []string
	Usage  Usage
	Finish Finish
}

func (b Batch) end() int { return b.From + len(b.Pieces) }

// Status is a replica's response to a batch or snapshot.
type Status int

const (
	// StatusApplied means that the replica has the batch.
	StatusApplied Status = iota
	// StatusGap means that the replica lacks preceding pieces or the whole answer.
	StatusGap
	// StatusStale means that another holder has taken over.
	StatusStale
)

// Snapshot is the complete state of an answer, sent to a new replica or a new
// holder.
type Snapshot struct {
	Header Header
	Holder string
	Epoch  uint64
	Batch  Batch
}

// Answer is the local state of an answer on the holder or the replica. It is safe
// for concurrent use.
type Answer struct {
	mu               sync.Mutex
	header           Header
	holder           string
	epoch            uint64
	transcript       transcript
	usage            Usage
	finish           Finish
	replicated       int // number of pieces that the replica has
	released         int // number of pieces visible to callers
	finishReplicated bool
	finishReleased   bool
	bodyCompacted    bool
	changed          chan struct{}
	readers          int
	idleSince        time.Time
	cancel           func() // cancels the generation
}

// New returns an answer without pieces.
func New(h Header, holder string, epoch uint64) *Answer {
	return &Answer{header: h, holder: holder, epoch: epoch, changed: make(chan struct{}), idleSince: time.Now()}
}

// FromSnapshot returns an answer with the state of s. All of its pieces are
// released.
func FromSnapshot(s Snapshot) *Answer {
	a := New(s.Header, s.Holder, s.Epoch)
	a.appendBatch(s.Batch, 0)
	return a
}

// appendBatch appends the pieces of b from index skip on and copies its usage and
// finish. Data from another node counts as replicated and released.
func (a *Answer) appendBatch(b Batch, skip int) {
	for i := skip; i < len(b.Pieces); i++ {
		a.transcript.append(b.Pieces[i])
	}
	a.usage = b.Usage
	a.finish = b.Finish
	a.replicated = a.transcript.len()
	a.released = a.replicated
	a.finishReplicated = a.finish.Done()
	a.finishReleased = a.finish.Done()
}

// Header returns the header, whose Body is a minimal body after CompactBody.
func (a *Answer) Header() Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.header
}

// CompactBody frees memory by replacing the request body, which may be large, with
// the part that is still needed after the answer has ended. BodyHash keeps the
// hash of the original body.
func (a *Answer) CompactBody(minimalBody func(path string, body []byte) []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyCompacted || !a.ended() {
		return
	}
	a.bodyCompacted = true
	a.header.Body = minimalBody(a.header.Path, a.header.Body)
}

// Ended reports whether the answer has ended and all of it is released.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended()
}

func (a *Answer) ended() bool { return a.finishReleased && a.released == a.transcript.len() }

// Holder returns the node that generates the answer and its epoch.
func (a *Answer) Holder() (string, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder, a.epoch
}

// SetCancel sets the function that cancels the answer's generation. Supersede and
// Cancel call it.
func (a *Answer) SetCancel(cancel func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
}

// Append appends a piece received from the engine and reports whether it did. It does
// not if the node is no longer the holder under epoch or the answer has already ended.
func (a *Answer) Append(epoch uint64, text string, u Usage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch || a.finish.Done() {
		return false
	}
	a.transcript.append(text)
	a.usage = u
	return true
}

// End marks the answer as ended and reports whether it did. It does not if the node is
// no longer the holder under epoch or the answer has already ended.
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

// Unreplicated returns the part of the answer that is not replicated yet and reports
// whether there is any.
func (a *Answer) Unreplicated() (Batch, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.batch(a.replicated)
	more := len(b.Pieces) > 0 || (a.finish.Done() && !a.finishReplicated)
	return b, more
}

func (a *Answer) batch(from int) Batch {
	n := a.transcript.len()
	return Batch{ID: a.header.ID, Epoch: a.epoch, From: from, Pieces: a.transcript.slice(from, n), Usage: a.usage, Finish: a.finish}
}

// Acknowledge releases a batch to callers after the replica has applied it, or
// when no replica is available. Batches of another epoch are ignored.
func (a *Answer) Acknowledge(b Batch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Epoch != a.epoch {
		return
	}
	a.replicated = max(a.replicated, b.end())
	a.released = max(a.released, b.end())
	if b.Finish.Done() {
		a.finishReplicated = true
		a.finishReleased = true
	}
	a.signal()
}

// Snapshot returns the complete state, including pieces that are not released.
func (a *Answer) Snapshot() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.snapshot()
}

func (a *Answer) snapshot() Snapshot {
	return Snapshot{Header: a.header, Holder: a.holder, Epoch: a.epoch, Batch: a.batch(0)}
}

// ApplyBatch applies a batch on the replica.
func (a *Answer) ApplyBatch(b Batch) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Epoch < a.epoch {
		return StatusStale
	}
	n := a.transcript.len()
	if b.Epoch > a.epoch || b.From > n {
		return StatusGap
	}
	if a.isOutdated(b) {
		return StatusApplied
	}
	a.appendBatch(b, n-b.From)
	a.signal()
	return StatusApplied
}

// isOutdated reports whether a batch of the current epoch was delayed in transit
// and the replica already has everything in it.
func (a *Answer) isOutdated(b Batch) bool {
	return a.finish.Done() || b.end() < a.transcript.len()
}

// ApplySnapshot replaces the replica's state with a snapshot from a holder. It rejects a
// holder with a lower epoch, and a different holder with the same epoch.
func (a *Answer) ApplySnapshot(s Snapshot) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Epoch < a.epoch || (s.Epoch == a.epoch && s.Holder != a.holder) {
		return StatusStale
	}
	if s.Epoch == a.epoch && a.isOutdated(s.Batch) {
		return StatusApplied
	}
	a.holder = s.Holder
	a.epoch = s.Epoch
	a.transcript = transcript{}
	a.appendBatch(s.Batch, 0)
	a.signal()
	return StatusApplied
}

// Promote makes another node the holder under the next epoch and returns the
// snapshot for it. It fails if the answer is no longer at the given epoch.
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

// Supersede records that another node became the holder under a higher epoch. It
// drops the pieces that were not released and cancels the local generation.
func (a *Answer) Supersede(holder string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch <= a.epoch {
		return
	}
	a.epoch = epoch
	a.holder = holder
	a.transcript.truncate(a.released)
	a.replicated = a.released
	if !a.finishReleased {
		a.finish = Finish{}
	}
	if a.cancel != nil {
		a.cancel()
	}
	a.signal()
}

// signal wakes all goroutines that wait on View.Changed.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

package answer

import "time"

// View is the released part of an answer from a position on.
type View struct {
	from    int
	pieces  []string
	finish  Finish
	usage   Usage
	holder  string
	epoch   uint64
	changed <-chan struct{}
}

// NewRemoteView returns a view of data that was read from another node. Its Changed
// channel is already closed, because the reader polls that node for more pieces.
func NewRemoteView(from int, pieces []string, f Finish, u Usage) View {
	return View{from: from, pieces: pieces, finish: f, usage: u, changed: closedChannel}
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// From returns the position of the first piece.
func (v View) From() int { return v.from }

// Pieces returns the released pieces.
func (v View) Pieces() []string { return v.pieces }

// Finish returns how the answer ended. It is empty until the whole answer is
// released.
func (v View) Finish() Finish { return v.finish }

// Usage returns the token counts so far.
func (v View) Usage() Usage { return v.usage }

// Holder returns the node that generates the answer.
func (v View) Holder() string { return v.holder }

// Epoch returns the holder's epoch.
func (v View) Epoch() uint64 { return v.epoch }

// Changed returns a channel that is closed when the answer may have changed.
func (v View) Changed() <-chan struct{} { return v.changed }

// Read returns the released part of the answer from position from on.
func (a *Answer) Read(from int) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := View{from: from, usage: a.usage, holder: a.holder, epoch: a.epoch, changed: a.changed}
	if from < a.released {
		v.pieces = a.transcript.slice(from, a.released)
	}
	if a.ended() {
		v.finish = a.finish
	}
	return v
}

// HasPrefix reports whether the released part of the answer begins with the prefix
// that e identifies.
func (a *Answer) HasPrefix(e EventID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return e.position <= a.released && a.transcript.eventID(e.position) == e
}

// MayHavePrefix reports whether the released part of the answer begins with the prefix
// that e identifies, or may still do so because it is shorter and has not ended.
func (a *Answer) MayHavePrefix(e EventID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.position <= a.released {
		return a.transcript.eventID(e.position) == e
	}
	return !a.finishReleased
}

// Progress returns the number of pieces, including those not released, the usage,
// and whether the answer has ended.
func (a *Answer) Progress() (pieces int, u Usage, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.transcript.len(), a.usage, a.finish.Done()
}

// Text returns the text so far, including pieces that are not released.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.transcript.text)
}

// AddReader registers a reader of the answer.
func (a *Answer) AddReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// RemoveReader unregisters a reader of the answer.
func (a *Answer) RemoveReader() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.idleSince = time.Now()
}

// IdleSince reports whether the answer has no readers and was last read before t.
func (a *Answer) IdleSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && a.idleSince.Before(t)
}

// ResetIdle resets the idle time, like AddReader followed by RemoveReader.
func (a *Answer) ResetIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleSince = time.Now()
}

// Cancel stops the answer's generation, which can be restarted later.
func (a *Answer) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}

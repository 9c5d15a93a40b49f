package answer

import "time"

// View is what callers may see of an answer from a position on.
type View struct {
	from    int
	pieces  []string
	finish  Finish
	usage   Usage
	holder  string
	epoch   uint64
	changed <-chan struct{}
}

// NewView returns a view that was read on another node. Its Changed is closed,
// since that node is asked again for more.
func NewView(from int, pieces []string, f Finish, u Usage) View {
	return View{from: from, pieces: pieces, finish: f, usage: u, changed: closed}
}

var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// From returns the position of the first piece.
func (v View) From() int { return v.from }

// Pieces returns the released pieces.
func (v View) Pieces() []string { return v.pieces }

// Finish tells how the answer ended, if all of it is in view.
func (v View) Finish() Finish { return v.finish }

// Usage returns the tokens counted so far.
func (v View) Usage() Usage { return v.usage }

// Holder returns the node that produces the answer.
func (v View) Holder() string { return v.holder }

// Epoch returns the holder's epoch.
func (v View) Epoch() uint64 { return v.epoch }

// Changed returns a channel that is closed when there may be more.
func (v View) Changed() <-chan struct{} { return v.changed }

// Read returns what callers may see from a position on.
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

// Matches tells whether the released part of the answer begins with the prefix
// that m names.
func (a *Answer) Matches(m Mark) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return m.position <= a.released && a.transcript.mark(m.position) == m
}

// Agrees tells whether the released part of the answer begins with the prefix
// that m names, or may yet: it is shorter and goes on.
func (a *Answer) Agrees(m Mark) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.position <= a.released {
		return a.transcript.mark(m.position) == m
	}
	return !a.finishOut
}

// Progress returns the number of pieces, released or not, the usage, and
// whether the answer has ended.
func (a *Answer) Progress() (pieces int, u Usage, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.transcript.len(), a.usage, a.finish.Done()
}

// Text returns the text so far, released or not.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.transcript.text)
}

// Join counts a caller who reads the answer.
func (a *Answer) Join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
}

// Leave counts a caller who no longer reads the answer.
func (a *Answer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	a.idleSince = time.Now()
}

// Idle tells whether nobody has read the answer since before t.
func (a *Answer) Idle(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers == 0 && a.idleSince.Before(t)
}

// Touch counts as a short visit of a reader.
func (a *Answer) Touch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idleSince = time.Now()
}

// Cancel ends the answer's generation; it can be started again.
func (a *Answer) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
	}
}

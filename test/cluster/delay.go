package cluster

import (
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// maxDelayedChunks limits what one direction of a connection holds while it is delayed.
const maxDelayedChunks = 1024

func init() { toxics.Register(delayType, new(delay)) }

const delayType = "cluster-delay"

// delay is the latency of one direction of a link. It stays in the chain of the proxy for as
// long as the link exists: the proxy takes a toxic out only after it has written what waits
// in it, also to connections whose other end is closed, and accepts no connections meanwhile.
type delay struct {
	mu      sync.Mutex
	latency time.Duration
	changed chan struct{} // closed when the latency changes
}

// delayedChunks is what one connection holds. It outlasts interruptions.
type delayedChunks struct {
	chunks []*stream.StreamChunk
	ended  bool // there is no more input
}

// NewState implements toxics.StatefulToxic.
func (d *delay) NewState() any { return new(delayedChunks) }

func (d *delay) current() (latency time.Duration, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.latency, d.changed
}

func (d *delay) set(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Pipe implements toxics.Toxic. It waits nowhere that an interruption does not end.
func (d *delay) Pipe(stub *toxics.ToxicStub) {
	held := stub.State.(*delayedChunks)
	for {
		latency, changed := d.current()
		if held.ended && len(held.chunks) == 0 {
			stub.Close()
			return
		}
		input := stub.Input
		if held.ended || len(held.chunks) >= maxDelayedChunks || latency == 0 && len(held.chunks) > 0 {
			input = nil
		}
		var output chan<- *stream.StreamChunk
		var first *stream.StreamChunk
		var due <-chan time.Time
		if len(held.chunks) > 0 {
			first = held.chunks[0]
			if wait := time.Until(first.Timestamp.Add(latency)); latency > 0 && wait > 0 {
				due = time.After(wait)
			} else {
				output = stub.Output
			}
		}
		select {
		case <-stub.Interrupt:
			return
		case <-changed:
		case <-due:
		case output <- first:
			held.chunks = held.chunks[1:]
		case c := <-input:
			if c == nil {
				held.ended = true
			} else {
				held.chunks = append(held.chunks, c)
			}
		}
	}
}

package streamversion

import (
	"context"
	"time"
)

const (
	// storeWindow is how long the store has a stream, from about its beginning.
	storeWindow = startWindow
	// maxQueued limits the streams that are kept for the store.
	maxQueued = 60_000
	// MaxBatch limits the streams that are written at a time.
	MaxBatch = 4_000
)

// queued is a stream that the store is to have while its service has several versions.
type queued struct {
	id ID
	entry
	stored bool
}

// enqueue adds a stream to those that this node may have to store. x.mu is held.
func (x *Index) enqueue(id ID, now time.Time) {
	e := x.current[id]
	if e.version == "" || e.queued {
		return
	}
	e.queued = true
	x.current[id] = e
	n := 0
	for n < len(x.queue) && (now.Sub(x.queue[n].at) > storeWindow || len(x.queue)-n >= maxQueued) {
		n++
	}
	x.queue = append(x.queue[n:], queued{id: id, entry: e})
}

// Several reports whether a service has had several versions.
func (x *Index) Several() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.ambiguous()) > 0
}

// ambiguous returns the versions of the services that have had several. x.mu is held.
func (x *Index) ambiguous() map[string]bool {
	versions := make(map[string]bool)
	for _, all := range x.history.services {
		if len(all) < 2 {
			continue
		}
		for version := range all {
			versions[version] = true
		}
	}
	return versions
}

// Branched receives a value when a service gets a second version.
func (x *Index) Branched() <-chan struct{} { return x.branched }

// UnstoredStreams returns recent streams that the store is to have and lacks, at most MaxBatch.
// MarkStreamsStored is to be called with the same ones once they are written.
func (x *Index) UnstoredStreams(now time.Time) []VersionStreams {
	x.mu.Lock()
	defer x.mu.Unlock()
	versions := x.ambiguous()
	if len(versions) == 0 {
		return nil
	}
	streams := make(map[string][]ID)
	for i, left := 0, MaxBatch; i < len(x.queue) && left > 0; i++ {
		q := &x.queue[i]
		if q.stored || !versions[q.version] || now.Sub(q.at) > storeWindow {
			continue
		}
		streams[q.version] = append(streams[q.version], q.id)
		left--
	}
	return listStreams(streams)
}

// MarkStreamsStored records that streams were written to the store.
func (x *Index) MarkStreamsStored(all []VersionStreams) {
	written := make(map[ID]bool)
	for _, s := range all {
		for _, id := range s.IDs {
			written[id] = true
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range x.queue {
		q := &x.queue[i]
		q.stored = q.stored || written[q.id]
	}
}

// MergeStoredStreams records streams that the store has.
func (x *Index) MergeStoredStreams(all []VersionStreams, now time.Time) {
	for _, s := range all {
		for _, id := range s.IDs {
			x.Record(id, s.Version, now)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range all {
		for _, id := range s.IDs {
			if e, found := x.current[id]; found {
				e.queued = true
				x.current[id] = e
			}
		}
	}
}

// MarkLoaded records that this node need not wait for streams from the store any more.
func (x *Index) MarkLoaded() { x.loadOnce.Do(func() { close(x.loaded) }) }

// AwaitLoaded waits until the streams that the store has are known, or for the end of ctx.
func (x *Index) AwaitLoaded(ctx context.Context) {
	select {
	case <-x.loaded:
	case <-ctx.Done():
	}
}

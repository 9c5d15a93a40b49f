// Package streamversion records which software version of a service made the events of a stream,
// so that any node can go on with it at a server of that version, and which versions a service has
// had lately. What two versions write doesn't fit together.
//
// A stream is known by the request whose response brought its first event. The node that serves
// it tells some others before its caller gets the event, and all of them soon after; a node that
// is asked for a stream it doesn't know asks the others. If none knows, the stream may go on only
// if its service has had a single version for as long as streams last, until the stream was taken
// up. While a service has several
// versions, the store has the streams that began lately, so that they outlive all nodes.
//
// # Usage
//
//	x := streamversion.New(peers)
//	x.Observe("llm", "v1", now) // for each registered server
//	id := streamversion.NewID("ndox", "llm", "request-1")
//	x.Begin(ctx, id, "v1")
//	_, version, found := x.Find(ctx, []streamversion.ID{id})
package streamversion

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// recordTimeout limits how long the first event of a stream waits until another node knows
	// of the stream, and findTimeout how long a stream waits for what other nodes know.
	recordTimeout = 100 * time.Millisecond
	findTimeout   = 300 * time.Millisecond
	// retention is how long streams are known at least, and versions after the last server has
	// left. Streams last for minutes at most.
	retention = 10 * time.Minute
	// maxStreams limits the streams that are known. If there are more, the oldest are forgotten.
	maxStreams = 200_000
)

// ID identifies a stream of an organisation at a service by the request that began it.
type ID uint64

// NewID returns the ID of a stream.
func NewID(organisation, service, request string) ID {
	sum := sha256.Sum256([]byte(organisation + "\x00" + service + "\x00" + request))
	return ID(binary.BigEndian.Uint64(sum[:]))
}

// Peers are the other nodes.
type Peers interface {
	// Record tells other nodes of a stream and returns once one of them knows it, or at the end
	// of ctx.
	Record(ctx context.Context, id ID, version string)
	// Find asks the other nodes for the first of some streams that one of them knows.
	Find(ctx context.Context, ids []ID) (index int, version string, found bool)
	// Refresh observes the versions that services have at the time of the call or later, and
	// reports whether it could.
	Refresh(ctx context.Context) bool
	// RefreshInterval returns the minimum time between two refreshes.
	RefreshInterval() time.Duration
}

type entry struct {
	version string
	at      time.Time
	queued  bool // was in Index.queue, or is in the store
}

// Index holds the known streams and versions.
type Index struct {
	peers   Peers
	mu      sync.Mutex
	current map[ID]entry // streams learnt since the last rotation
	former  map[ID]entry // streams learnt between the last two rotations
	rotated time.Time
	begun   []begun  // by this node, recently, in order of time
	queue   []queued // in order of time
	history history

	refresher refresher

	branched chan struct{}
	loaded   chan struct{} // closed once the streams in the store are known
	loadOnce sync.Once
}

type begun struct {
	id ID
	entry
}

// New returns an empty index. Without peers, all versions that a service has had are known.
func New(p Peers) *Index {
	x := &Index{
		peers: p, current: make(map[ID]entry), former: make(map[ID]entry), history: history{services: make(map[string]map[string]*lifetime), complete: p == nil},
		branched: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
	if p == nil {
		x.MarkLoaded()
	}
	return x
}

// Begin records that a server of a version made the first event of a stream. It returns once
// another node knows, or after a short time.
func (x *Index) Begin(ctx context.Context, id ID, version string) {
	now := time.Now()
	x.Record(id, version, now)
	x.mu.Lock()
	x.begun = append(x.begun, begun{id, entry{version: version, at: now}})
	x.enqueue(id, now)
	x.mu.Unlock()
	if x.peers == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(recordTimeout))
	defer cancel()
	x.peers.Record(ctx, id, version)
}

// Record records the version of a stream that another node began. The first record of a stream
// stands.
func (x *Index) Record(id ID, version string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Sub(x.rotated) > retention || len(x.current) >= maxStreams/2 {
		x.current, x.former, x.rotated = make(map[ID]entry), x.current, now
	}
	if _, found := x.current[id]; found {
		return
	}
	e := entry{version: version, at: now}
	if former, found := x.former[id]; found {
		e.version, e.queued = former.version, former.queued
	}
	x.current[id] = e
}

// Lookup returns the first of some streams that this node knows, and its version.
func (x *Index) Lookup(ids []ID) (index int, version string, found bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, id := range ids {
		if e, found := x.current[id]; found {
			return i, e.version, true
		}
		if e, found := x.former[id]; found {
			return i, e.version, true
		}
	}
	return 0, "", false
}

// Find returns the first of some streams that this node or another one knows, and its version.
func (x *Index) Find(ctx context.Context, ids []ID) (index int, version string, found bool) {
	if index, version, found = x.Lookup(ids); found || x.peers == nil {
		return index, version, found
	}
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(findTimeout))
	defer cancel()
	if index, version, found = x.peers.Find(ctx, ids); found {
		x.Record(ids[index], version, now)
		return index, version, true
	}
	x.AwaitLoaded(ctx)
	return x.Lookup(ids)
}

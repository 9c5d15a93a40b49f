package entry

import (
	"context"
	"fmt"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/relay"
)

const (
	// streamStoreInterval is the time between two writes of streams, and streamLoadInterval that
	// between two checks whether streams are to be read.
	streamStoreInterval = 500 * time.Millisecond
	streamLoadInterval  = 20 * time.Millisecond
	// streamStoreRetryDelay is the time until the next write after one that failed.
	streamStoreRetryDelay = time.Second
	// streamRowLifetime is how long rows are kept after they were written or found.
	streamRowLifetime = 2 * time.Minute
	// maxRemovedRows limits the rows that are removed at a time, and minRemovedRows is how many
	// are worth a write of their own.
	maxRemovedRows = 50
	minRemovedRows = 20
)

// streamRows are the rows of streams in the store that this node knows. It is used by
// maintainStreams only.
type streamRows struct {
	prefix string // of the keys of this node's rows
	count  int
	remove map[string]time.Time // by key, when the row is to be removed
	listed bool                 // since this node reads the store
	era    uint64               // in which the rows were listed
}

// expired returns keys of rows that are to be removed.
func (r *streamRows) expired(now time.Time) []string {
	var keys []string
	for key, at := range r.remove {
		if !now.Before(at) && len(keys) < maxRemovedRows {
			keys = append(keys, key)
		}
	}
	return keys
}

// maintainStreams keeps the streams that began lately in the store while a service has several
// software versions, so that they outlive all nodes. Of each region one node writes.
func (n *Node) maintainStreams(ctx context.Context) error {
	rows := &streamRows{prefix: fmt.Sprintf("%s-%x/", n.settings.name, time.Now().UnixMilli()), remove: make(map[string]time.Time)}
	n.loadStreams(ctx, rows)
	for ctx.Err() == nil {
		t := time.NewTimer(streamStoreInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-n.streamVersions.Branched():
		}
		t.Stop()
		if !n.storeStreams(ctx, rows) {
			sleep(ctx, streamStoreRetryDelay)
		}
	}
	return ctx.Err()
}

// loadStreams reads the streams in the store after the start if a service has several versions.
// With many nodes the first one of each data centre does, and the others ask it.
func (n *Node) loadStreams(ctx context.Context, rows *streamRows) {
	for ctx.Err() == nil && !(n.hostListTried.Load() && n.serversKnown() && n.streamVersions.Complete()) {
		sleep(ctx, streamLoadInterval)
	}
	for ctx.Err() == nil && n.streamVersions.Several() && n.loadsStreams() && !n.listStreams(ctx, rows) {
		sleep(ctx, streamStoreRetryDelay)
	}
	n.streamVersions.MarkLoaded()
}

func (n *Node) loadsStreams() bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return !n.usesGateways() || n.aheadInDataCentre(time.Now()) == 0
}

// listStreams reads the rows of streams. It returns false if that failed.
func (n *Node) listStreams(ctx context.Context, rows *streamRows) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(hostStoreTimeout))
	defer cancel()
	era := n.eras.Current()
	all, err := n.hosts.ListStreams(ctx)
	now := time.Now()
	if err != nil {
		n.recorder.Record("streams not read", relay.Fields{"error": err.Error()})
		return false
	}
	streams := 0
	for _, r := range all {
		if _, known := rows.remove[r.Key]; !known {
			rows.remove[r.Key] = now.Add(streamRowLifetime)
		}
		n.streamVersions.MergeStoredStreams(r.Streams, now)
		streams += countStreams(r.Streams)
	}
	if !rows.listed || rows.era != era { // a host that is cut off reads them again and again
		n.recorder.Record("streams read", relay.Fields{"rows": len(all), "streams": streams})
	}
	rows.listed, rows.era = true, era
	return true
}

// storeStreams writes streams that the store lacks and removes old ones if this node reads the
// store. It returns false if that failed.
func (n *Node) storeStreams(ctx context.Context, rows *streamRows) bool {
	if !n.serversKnown() || !n.streamVersions.Several() || !n.readsStore() {
		rows.listed = false
		return true
	}
	outdated := !rows.listed || rows.era != n.eras.Current() || n.isCutOff(time.Now())
	if outdated && !n.listStreams(ctx, rows) {
		return false
	}
	for ctx.Err() == nil {
		streams := n.streamVersions.UnstoredStreams(time.Now())
		if !n.putStreams(ctx, rows, streams) {
			return false
		}
		if countStreams(streams) < streamversion.MaxBatch {
			break
		}
	}
	return true
}

// isCutOff reports whether this node reaches none of its peers, so that only the store tells it of
// their streams.
func (n *Node) isCutOff(now time.Time) bool {
	return len(n.allPeers()) > 0 && len(n.livePeers(now)) == 0
}

// putStreams writes a row of streams and removes old rows. It returns false if that failed.
func (n *Node) putStreams(ctx context.Context, rows *streamRows, streams []streamversion.VersionStreams) bool {
	now := time.Now()
	expired := rows.expired(now)
	if len(streams) == 0 && len(expired) < min(minRemovedRows, max(1, len(rows.remove))) {
		return true
	}
	// A write without a response may take effect later, so that no other one may have its key.
	x := records.StreamRow{Key: rows.prefix + fmt.Sprintf("%08d", rows.count), Streams: streams}
	if len(streams) > 0 {
		rows.remove[x.Key] = now.Add(streamRowLifetime)
		rows.count++
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(hostStoreTimeout))
	defer cancel()
	if err := n.hosts.PutStreams(ctx, x, expired); err != nil {
		n.recorder.Record("streams not stored", relay.Fields{"error": err.Error()})
		return false
	}
	n.metrics.count("streams stored")
	n.streamVersions.MarkStreamsStored(streams)
	for _, key := range expired {
		delete(rows.remove, key)
	}
	return true
}

func countStreams(all []streamversion.VersionStreams) int {
	n := 0
	for _, s := range all {
		n += len(s.IDs)
	}
	return n
}

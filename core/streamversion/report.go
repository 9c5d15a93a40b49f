package streamversion

import (
	"slices"
	"time"
)

const (
	// reportWindow is how long a node reports the streams that it began.
	reportWindow = 800 * time.Millisecond
	// startWindow and maxReported limit the streams that a node which has just started is told.
	startWindow = 2 * time.Minute
	maxReported = 20_000
)

// Report is what a node tells another one.
type Report struct {
	Streams  []VersionStreams        // that it began a moment ago
	Known    []VersionStreams        // that it knows from recent time; only for nodes that have just started
	Services map[string][]VersionAge // versions of the services that have had several
	Complete bool                    // Services has all of them
}

// VersionStreams are streams that servers of a version began.
type VersionStreams struct {
	Version string
	IDs     []ID
}

// VersionAge is a version with the time since a server of it was last registered.
type VersionAge struct {
	Version string
	Age     time.Duration
}

// Report returns the streams that this node began a moment ago, or, for a node that has just
// started, all that it knows from recent time.
func (x *Index) Report(now time.Time, starting bool) Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := Report{Complete: x.history.complete}
	streams := make(map[string][]ID)
	x.expireBegun(now)
	for _, b := range x.begun {
		streams[b.version] = append(streams[b.version], b.id)
	}
	r.Streams = listStreams(streams)
	if starting {
		r.Known = listStreams(x.recent(now))
	}
	for service, all := range x.history.services {
		if len(all) < 2 {
			continue
		}
		if r.Services == nil {
			r.Services = make(map[string][]VersionAge)
		}
		for version, l := range all {
			r.Services[service] = append(r.Services[service], VersionAge{version, now.Sub(l.seen)})
		}
	}
	return r
}

func (x *Index) expireBegun(now time.Time) {
	n := 0
	for n < len(x.begun) && now.Sub(x.begun[n].at) > reportWindow {
		n++
	}
	x.begun = x.begun[n:]
}

// recent returns the streams that this node knows from recent time, by version. x.mu is held.
func (x *Index) recent(now time.Time) map[string][]ID {
	streams, left := make(map[string][]ID), maxReported
	for _, all := range []map[ID]entry{x.current, x.former} {
		for id, e := range all {
			if now.Sub(e.at) > startWindow {
				continue
			}
			if left--; left < 0 {
				return streams
			}
			streams[e.version] = append(streams[e.version], id)
		}
	}
	return streams
}

func listStreams(streams map[string][]ID) []VersionStreams {
	var all []VersionStreams
	for version, ids := range streams {
		all = append(all, VersionStreams{Version: version, IDs: ids})
	}
	return all
}

// Merge applies the report of another node as of a time. If store is set, this node may have to
// store the streams that the other one has just begun.
func (x *Index) Merge(r Report, at time.Time, store bool) {
	for _, s := range slices.Concat(r.Streams, r.Known) {
		for _, id := range s.IDs {
			x.Record(id, s.Version, at)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if store {
		for _, s := range r.Streams {
			for _, id := range s.IDs {
				x.enqueue(id, at)
			}
		}
	}
	for service, all := range r.Services {
		for _, v := range all {
			if v.Age <= retention {
				x.observe(ServiceVersion{service, v.Version}, at.Add(-v.Age))
			}
		}
	}
	x.history.complete = x.history.complete || r.Complete
}

package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/core/readers"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
)

const (
	// wholeListMaxAge is how long a compressed list is sent, as many nodes that start ask
	// for it at the same time.
	wholeListMaxAge = 100 * time.Millisecond
	// busyRetryDelay is the mean delay before a node whose request for the whole list was
	// turned away asks again.
	busyRetryDelay = 100 * time.Millisecond
)

// wholeList is the compressed list of all servers as of a moment ago.
type wholeList struct {
	mu     sync.Mutex
	limit  readers.ListLimit
	list   neighbour.WholeServerList
	count  int
	packed time.Duration // uptime
}

// WholeServers implements neighbour.Handler.
func (n *Node) WholeServers() neighbour.WholeServerList {
	l := &n.wholeList
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime()
	if l.list.Packed == nil || now-l.packed > wholeListMaxAge {
		x := n.Servers(freshness.StoreVersion{})
		packed, err := neighbour.Pack(x.Changes)
		if err != nil || !x.Fact.Known {
			return neighbour.WholeServerList{}
		}
		l.list, l.count, l.packed = neighbour.WholeServerList{Fact: x.Fact, Packed: packed}, len(x.Changes), now
	}
	if !l.limit.Allow(l.count, time.Now()) {
		return neighbour.WholeServerList{Fact: l.list.Fact, Busy: true}
	}
	sent := l.list
	sent.Fact.Age += now - l.packed
	return sent
}

// fetchWholeServers fetches all servers from a peer, or from another one that has them if
// it is busy.
func (n *Node) fetchWholeServers(p *peer) error {
	end := time.Now().Add(fetchTimeout)
	for {
		sent := uptime()
		x, err := p.client.WholeServers(time.Now().Add(fetchTimeout))
		if err != nil {
			return err
		}
		if x.Busy {
			time.Sleep(busyRetryDelay/2 + rand.N(busyRetryDelay))
			if n.serversKnown() || time.Now().After(end) {
				return nil
			}
			p = n.peerWithServers(p)
			continue
		}
		if !x.Fact.Known {
			return nil
		}
		all, err := neighbour.Unpack(x.Packed)
		if err != nil {
			return err
		}
		n.applyPeerServers(neighbour.ServerList{Fact: x.Fact, Whole: true, Changes: all}, sent-x.Fact.Age, p.host.Name)
		n.recorder.Record("whole list", relay.Fields{"peer": p.host.Name, "servers": len(all), "bytes": len(x.Packed), "ms": (uptime() - sent).Milliseconds()})
		return nil
	}
}

// peerWithServers returns a random live peer that knows the servers, or p if there is none.
func (n *Node) peerWithServers(p *peer) *peer {
	return n.randomPeer(p, func(r *neighbour.NodeReport) bool { return r.Servers.Known })
}

package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
)

// packedFrom is the size, in bytes, from which a configuration is sent compressed, and within a limit.
const packedFrom = 16 << 10

// rawConfiguration is a configuration as encoded in the store.
type rawConfiguration struct {
	revision uint64
	value    []byte
	packed   func() []byte // compressed, nil if that is not possible
}

func newRawConfiguration(revision uint64, value []byte) *rawConfiguration {
	return &rawConfiguration{revision: revision, value: value, packed: sync.OnceValue(func() []byte {
		b, err := neighbour.PackBytes(value)
		if err != nil {
			return nil
		}
		return b
	})}
}

// Configuration implements neighbour.Handler. A large configuration is sent to a few nodes at a time:
// all that ask the first one that has it would get it so slowly that none gets it in time.
func (n *Node) Configuration(q neighbour.ConfigurationRequest) neighbour.ConfigurationReply {
	encoded := n.encoded.Load()
	f := n.configurationFreshness(uptime())
	if encoded == nil || !f.Known || encoded.revision != f.Version {
		return neighbour.ConfigurationReply{}
	}
	if q != neighbour.AcceptsPacked || len(encoded.value) < packedFrom {
		return neighbour.ConfigurationReply{Fact: f, Value: encoded.value, Rollouts: n.rollouts.Orders()}
	}
	packed := encoded.packed()
	if packed == nil {
		return neighbour.ConfigurationReply{Fact: f, Value: encoded.value, Rollouts: n.rollouts.Orders()}
	}
	if !n.configurationLimit.Allow(len(packed), time.Now()) {
		return neighbour.ConfigurationReply{Fact: f, Busy: true}
	}
	return neighbour.ConfigurationReply{Fact: f, Packed: packed, Rollouts: n.rollouts.Orders()}
}

// fetchConfiguration fetches the configuration from a peer, or from another one that has it if it is
// busy.
func (n *Node) fetchConfiguration(p *peer) error {
	end := time.Now().Add(fetchTimeout)
	for {
		sent := uptime()
		x, err := p.client.Configuration(time.Now().Add(fetchTimeout))
		if err != nil || !x.Fact.Known {
			return err
		}
		if !x.Busy {
			n.rollouts.Merge(x.Rollouts, sent) // no host knows a configuration without its orders
			n.installConfiguration(x.Value, sent-x.Fact.Age, true, p.host.Name)
			n.recorder.Record("configuration fetched", relay.Fields{"peer": p.host.Name, "revision": x.Fact.Version, "bytes": len(x.Value), "packed_bytes": len(x.Packed), "ms": (uptime() - sent).Milliseconds()})
			return nil
		}
		time.Sleep(busyRetryDelay/2 + rand.N(busyRetryDelay))
		if n.configurationFreshness(uptime()).Version >= x.Fact.Version || time.Now().After(end) {
			return nil
		}
		p = n.peerWithConfiguration(p, x.Fact.Version)
	}
}

// peerWithConfiguration returns a random live peer that knows a revision or a newer one, or p if there
// is none.
func (n *Node) peerWithConfiguration(p *peer, revision uint64) *peer {
	return n.randomPeer(p, func(r *neighbour.NodeReport) bool {
		return r.Configuration.Known && r.Configuration.Version >= revision
	})
}

// randomPeer returns a random live peer whose last report meets a condition, or p if there is none.
func (n *Node) randomPeer(p *peer, meets func(r *neighbour.NodeReport) bool) *peer {
	now := time.Now()
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	found := 0
	for _, x := range n.peers.all {
		if meets(&x.report) && now.Sub(x.reportedAt) < livenessTimeout {
			if found++; rand.N(found) == 0 {
				p = x
			}
		}
	}
	return p
}

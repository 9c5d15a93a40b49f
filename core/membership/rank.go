package membership

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RendezvousWeight returns the rendezvous weight of a name for a key.
func RendezvousWeight(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return mix(d.Sum64())
}

func mix(x uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], x)
	return xxhash.Sum64(b[:])
}

// RendezvousOrder returns items in the rendezvous order of key. The order is the same on
// every node that has the same items, and adding or removing an item does not
// change the order of the others.
func RendezvousOrder[T any](items []T, name func(T) string, key string) []T {
	type weighted struct {
		item   T
		weight uint64
	}
	weights := make([]weighted, 0, len(items))
	for _, x := range items {
		weights = append(weights, weighted{x, RendezvousWeight(name(x), key)})
	}
	sort.Slice(weights, func(i, j int) bool { return weights[i].weight > weights[j].weight })
	ranked := make([]T, 0, len(weights))
	for _, x := range weights {
		ranked = append(ranked, x.item)
	}
	return ranked
}

// InTopN reports whether name is one of the first n of names in the rendezvous order
// of key.
func InTopN(names []string, key, name string, n int) bool {
	for i, x := range RendezvousOrder(names, func(s string) string { return s }, key) {
		if x == name {
			return i < n
		}
	}
	return false
}

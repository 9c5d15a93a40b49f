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
	type scored struct {
		item  T
		score uint64
	}
	scores := make([]scored, 0, len(items))
	for _, x := range items {
		scores = append(scores, scored{x, RendezvousWeight(name(x), key)})
	}
	sort.Slice(scores, func(i, j int) bool { return scores[i].score > scores[j].score })
	ranked := make([]T, 0, len(scores))
	for _, x := range scores {
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

package membership

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous weight of a name for a key.
func Score(name, key string) uint64 {
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

// Rank returns items in the rendezvous order of key: the same on every node
// that has the same items, and little changed when one comes or goes.
func Rank[T any](items []T, name func(T) string, key string) []T {
	type scored struct {
		item  T
		score uint64
	}
	all := make([]scored, 0, len(items))
	for _, x := range items {
		all = append(all, scored{x, Score(name(x), key)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	ranked := make([]T, 0, len(all))
	for _, x := range all {
		ranked = append(ranked, x.item)
	}
	return ranked
}

// Among tells whether a name is among the first n of names in the rendezvous order of
// key.
func Among(names []string, key, name string, n int) bool {
	for i, x := range Rank(names, func(s string) string { return s }, key) {
		if x == name {
			return i < n
		}
	}
	return false
}

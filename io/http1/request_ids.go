package http1

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests that a connection carries at most.
const maxCarried = 512

// requestIDs are the IDs of the requests that a connection has carried, as hashes.
type requestIDs []uint64

var idSeed = maphash.MakeSeed()

func (i *requestIDs) add(id string) { *i = append(*i, maphash.String(idSeed, id)) }

func (i requestIDs) contains(id string) bool { return slices.Contains(i, maphash.String(idSeed, id)) }

func (i requestIDs) full() bool { return len(i) >= maxCarried }

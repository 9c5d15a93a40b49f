package rollout

import (
	"math"
	"slices"
	"strconv"

	"cicadabeam/core/membership"
)

// leastServers is the number of new servers that get requests at least, so that a failing server is
// told from a failing version.
const leastServers = 3

// Choice tells which servers of a service an attempt may use. The zero Choice allows all of them.
type Choice struct {
	service  string
	required string // the only version that is allowed; empty if several are
	excluded []string
	held     []string
	selected bool
	order    uint64
	share    float64
}

// New reports whether the request was selected for the new version, on credit or by the share.
func (c Choice) New() bool { return c.selected }

// Any reports whether the choice allows all versions.
func (c Choice) Any() bool { return c.required == "" && len(c.excluded) == 0 && len(c.held) == 0 }

// Allows reports whether an attempt may use servers of a version. A stream that has begun goes on at
// servers of its version, whatever the choice.
func (c Choice) Allows(version string) bool {
	if c.required != "" {
		return version == c.required
	}
	return !slices.Contains(c.excluded, version)
}

// LastResort reports whether servers of a version may be used only if no other one is usable: it
// has appeared without an order, which may be in transit.
func (c Choice) LastResort(version string) bool { return slices.Contains(c.held, version) }

// Servers returns the servers of the required version that are in use at the choice's share, the
// same ones on all hosts, so that each of them has the load that it will have later. ids are those of
// all its servers. All are in use if the choice requires no version.
func (c Choice) Servers(ids []string) []string {
	n := max(leastServers, int(math.Ceil(c.share*float64(len(ids))-1e-9)))
	if c.required == "" || n >= len(ids) {
		return ids
	}
	key := strconv.FormatUint(c.order, 10)
	return membership.RendezvousOrder(ids, func(id string) string { return id }, key)[:n]
}

package rollout

// Choice tells which servers of a service an attempt may use. The zero Choice allows all of them.
type Choice struct {
	service  string
	required string // version; empty if several are allowed
	excluded []string
	held     []string
	selected bool
	order    uint64
	share    float64
}

// New reports whether the request was selected for the new version.
func (c Choice) New() bool { return c.selected }

// Any reports whether the choice allows all versions.
func (c Choice) Any() bool { return c.required == "" && len(c.excluded) == 0 && len(c.held) == 0 }

// Allows reports whether an attempt may use servers of a version.
func (c Choice) Allows(version string) bool { return true }

// LastResort reports whether servers of a version may be used only if no other one is usable: it
// has appeared without an order, which may be in transit.
func (c Choice) LastResort(version string) bool { return false }

// Servers returns the new version's servers that are in use at the choice's share, the same ones on all
// hosts. ids are those of all its servers.
func (c Choice) Servers(ids []string) []string { return ids }

package fleet

import (
	"slices"
	"time"
)

// selectable returns the servers of a service among which a query selects while the service changes to
// another software version.
func (q Query) selectable(all []*Member) []*Member {
	if q.Versions == nil {
		return all
	}
	lastResort := true // no other server is usable
	ids := make(map[string][]string)
	for _, m := range all {
		if !m.matches(q) {
			continue
		}
		version := m.Version()
		ids[version] = append(ids[version], m.ID())
		lastResort = lastResort && (q.Versions.LastResort(version) || q.Exclude[m.ID()] || !m.usable(q.Now))
	}
	subsets := make(map[string][]string, len(ids))
	for version, servers := range ids {
		subsets[version] = q.Versions.Subset(version, servers)
	}
	return slices.DeleteFunc(slices.Clone(all), func(m *Member) bool {
		version := m.Version()
		return !lastResort && q.Versions.LastResort(version) || !slices.Contains(subsets[version], m.ID())
	})
}

// Versions returns the number of a service's registered servers by software version.
func (f *Fleet) Versions(service string, now time.Time) map[string]int {
	f.mu.RLock()
	all := f.services[service]
	f.mu.RUnlock()
	found := make(map[string]int)
	for _, m := range all {
		if !m.deregistered(now) {
			found[m.Version()]++
		}
	}
	return found
}

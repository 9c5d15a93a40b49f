package entry

import (
	"slices"
	"testing"
	"time"

	"cicadabeam/core/records"
)

// The rows of hosts that were replaced must be removed. Hosts of another region must stay,
// because regions may be cut off from each other for an hour.
func TestStaleHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	old, recent := now.Add(-staleHostAge-time.Second), now.Add(-time.Minute)
	var p peers
	p.init()
	for name, x := range map[string]peer{
		"replaced":   {host: records.EntryHost{Region: "north"}, addedAt: old, reportedAt: old},
		"unreported": {host: records.EntryHost{Region: "north"}, addedAt: old},
		"listed":     {host: records.EntryHost{Region: "north"}, addedAt: recent},
		"live":       {host: records.EntryHost{Region: "north"}, addedAt: old, reportedAt: recent},
		"elsewhere":  {host: records.EntryHost{Region: "south"}, addedAt: old, reportedAt: old},
	} {
		p.all[name] = &x
	}
	got := p.staleHosts("north", now)
	slices.Sort(got)
	if want := []string{"replaced", "unreported"}; !slices.Equal(got, want) {
		t.Errorf("stale hosts are %q, want %q", got, want)
	}
}

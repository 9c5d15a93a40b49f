package entry

import (
	"slices"
	"testing"
	"time"

	"cicadabeam/core/records"
)

// Rows of hosts that were replaced don't stay for ever; those of another region do, as
// regions may lose each other for an hour.
func TestLostHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	long, lately := now.Add(-hostKept-time.Second), now.Add(-time.Minute)
	var p peers
	p.init()
	for name, x := range map[string]peer{
		"replaced":  {host: records.EntryHost{Region: "north"}, since: long, heard: long},
		"unheard":   {host: records.EntryHost{Region: "north"}, since: long},
		"listed":    {host: records.EntryHost{Region: "north"}, since: lately},
		"lives":     {host: records.EntryHost{Region: "north"}, since: long, heard: lately},
		"elsewhere": {host: records.EntryHost{Region: "south"}, since: long, heard: long},
	} {
		p.all[name] = &x
	}
	got := p.lost("north", now)
	slices.Sort(got)
	if want := []string{"replaced", "unheard"}; !slices.Equal(got, want) {
		t.Errorf("lost: %q, not %q", got, want)
	}
}

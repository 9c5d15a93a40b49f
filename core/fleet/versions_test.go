package fleet_test

import (
	"slices"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// choice allows some versions and some servers of each.
type choice struct {
	excluded, lastResort string
	servers              []string
}

func (c choice) Allows(version string) bool     { return version != c.excluded }
func (c choice) LastResort(version string) bool { return version == c.lastResort }
func (c choice) Subset(_ string, ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return c.servers != nil && !slices.Contains(c.servers, id) })
}

// Guards against requests at servers that a roll-out excludes or doesn't use yet.
func TestServersOfRollout(t *testing.T) {
	f := fleet.New(topology)
	for _, s := range []fleet.Server{versioned("a1", "a", "v1"), versioned("b1", "b", "v1"), versioned("a2", "a", "v2"), versioned("b2", "b", "v2")} {
		f.Upsert(s)
	}
	for _, x := range []struct {
		name   string
		choice choice
		out    []string // servers that are excluded as the request failed there
		want   []string
	}{
		{"the new version is excluded", choice{excluded: "v2"}, nil, []string{"a1", "b1"}},
		{"some servers of the new version", choice{excluded: "v1", servers: []string{"b2"}}, nil, []string{"b2"}},
		{"a version that may have an order", choice{lastResort: "v2"}, nil, []string{"a1", "b1"}},
		{"no other server is left", choice{lastResort: "v2"}, []string{"a1", "b1"}, []string{"a2", "b2"}},
	} {
		q := promptQuery(start)
		q.Versions, q.Exclude = x.choice, make(map[string]bool)
		for _, id := range x.out {
			q.Exclude[id] = true
		}
		var got []string
		for m := f.Reserve(q); m != nil; m = f.Reserve(q) {
			got = append(got, m.ID())
			q.Exclude[m.ID()] = true
			if len(got) == len(x.want) {
				break
			}
		}
		if slices.Sort(got); !slices.Equal(got, x.want) {
			t.Errorf("%s: got %q, want %q", x.name, got, x.want)
		}
	}
	if q := promptQuery(start); f.ReserveServer(f.Find("a2"), limited(q, choice{excluded: "v2"})) {
		t.Error("a given server of an excluded version is reserved")
	}
	f.RecordLeaving(f.Find("b1"), start)
	f.Defer(f.Find("a1"), time.Second, start)
	q := fleet.Query{Service: "llm", Now: start}
	if _, found := f.Relief(q); found {
		t.Error("servers that turn requests away are waited for although others take them")
	}
	if _, found := f.Relief(limited(q, choice{excluded: "v2"})); !found {
		t.Error("a server of an excluded version counts as one that takes requests")
	}
	if got := f.Versions("llm", start); got["v1"] != 2 || got["v2"] != 2 {
		t.Errorf("got versions %v", got)
	}
}

func limited(q fleet.Query, v fleet.Versions) fleet.Query {
	q.Versions = v
	return q
}

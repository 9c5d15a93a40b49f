package config

import (
	"cicadabeam/core/inifile"
)

// Change is one difference between two questionnaires. A change with no key is
// a whole section that came or went.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Kind    string `json:"kind"`
}

// The kinds of change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

type field struct{ section, key string }

// Diff returns what has to change in the questionnaire old to make it new, in
// the order of sections and keys. The texts need not be valid.
func Diff(old, new []byte) []Change {
	before := inifile.Parse("old", old).Entries()
	after := inifile.Parse("new", new).Entries()
	was := values(before)
	is := values(after)
	var all []Change
	for _, e := range before {
		if _, found := is[field{e.Section(), e.Key()}]; !found {
			all = append(all, Change{Section: e.Section(), Key: e.Key(), Old: e.Value(), Kind: Removed})
		}
	}
	for _, e := range after {
		v, found := was[field{e.Section(), e.Key()}]
		switch {
		case !found:
			all = append(all, Change{Section: e.Section(), Key: e.Key(), New: e.Value(), Kind: Added})
		case v != e.Value():
			all = append(all, Change{Section: e.Section(), Key: e.Key(), Old: v, New: e.Value(), Kind: Changed})
		}
	}
	return all
}

// String returns the change as an operator reads it.
func (c Change) String() string {
	name := "[" + c.Section + "]"
	if c.Key != "" {
		name += " " + c.Key
	}
	switch c.Kind {
	case Added:
		if c.Key == "" {
			return "+ " + name
		}
		return "+ " + name + " = " + c.New
	case Removed:
		if c.Key == "" {
			return "- " + name
		}
		return "- " + name + " = " + c.Old
	default:
		return "~ " + name + " = " + c.Old + " -> " + c.New
	}
}

func values(entries []inifile.Entry) map[field]string {
	all := make(map[field]string, len(entries))
	for _, e := range entries {
		all[field{e.Section(), e.Key()}] = e.Value()
	}
	return all
}

package config

import (
	"cicadabeam/core/inifile"
)

// Change is one difference between two questionnaires. A change without a key means
// that a whole section was added or removed.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Kind    string `json:"kind"`
}

// The values of Change.Kind.
const (
	ChangeAdded    = "added"
	ChangeRemoved  = "removed"
	ChangeModified = "changed"
)

type sectionKey struct{ section, key string }

// Diff returns the changes from the questionnaire old to the questionnaire new:
// removals, then additions and changed values, each sorted by section and key. The
// texts need not be valid.
func Diff(old, new []byte) []Change {
	oldEntries := inifile.Parse("old", old).Entries()
	newEntries := inifile.Parse("new", new).Entries()
	oldValues := values(oldEntries)
	newValues := values(newEntries)
	var all []Change
	for _, e := range oldEntries {
		if _, found := newValues[sectionKey{e.Section(), e.Key()}]; !found {
			all = append(all, Change{Section: e.Section(), Key: e.Key(), Old: e.Value(), Kind: ChangeRemoved})
		}
	}
	for _, e := range newEntries {
		v, found := oldValues[sectionKey{e.Section(), e.Key()}]
		switch {
		case !found:
			all = append(all, Change{Section: e.Section(), Key: e.Key(), New: e.Value(), Kind: ChangeAdded})
		case v != e.Value():
			all = append(all, Change{Section: e.Section(), Key: e.Key(), Old: v, New: e.Value(), Kind: ChangeModified})
		}
	}
	return all
}

// String formats the change as one line for operators, as in a diff.
func (c Change) String() string {
	name := "[" + c.Section + "]"
	if c.Key != "" {
		name += " " + c.Key
	}
	switch c.Kind {
	case ChangeAdded:
		if c.Key == "" {
			return "+ " + name
		}
		return "+ " + name + " = " + c.New
	case ChangeRemoved:
		if c.Key == "" {
			return "- " + name
		}
		return "- " + name + " = " + c.Old
	default:
		return "~ " + name + " = " + c.Old + " -> " + c.New
	}
}

func values(entries []inifile.Entry) map[sectionKey]string {
	all := make(map[sectionKey]string, len(entries))
	for _, e := range entries {
		all[sectionKey{e.Section(), e.Key()}] = e.Value()
	}
	return all
}

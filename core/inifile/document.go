// Package inifile parses and validates INI text. It collects all problems, each with
// its line, section and key, so that an operator can fix them in one pass. Sections
// are named "kind" or "kind name".
//
// # Usage
//
//	d := inifile.Parse("node.ini", text)
//	for _, s := range d.Sections("server") {
//		address := s.Required("address")
//		slots := s.Int("slots", 16, 1, 4096)
//	}
//	d.RejectUnknown()
//	if err := d.Err(); err != nil { ... }
package inifile

import (
	"fmt"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Problem is a validation error in a document.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	text    string
}

// String returns "file:line: [section] key: text".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", p.file, p.line)
	if p.section != "" {
		fmt.Fprintf(&b, " [%s]", p.section)
	}
	if p.key != "" {
		fmt.Fprintf(&b, " %s:", p.key)
	}
	b.WriteString(" " + p.text)
	return b.String()
}

// Problems is the error for a document with at least one problem.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, x := range p {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed INI text.
type Document struct {
	name      string
	file      *ini.File
	lines     lineIndex
	knownKeys map[string]map[string]bool // keys that were read, by section
	problems  Problems
}

// Parse parses text. Problems give name as the name of the file. If text is not valid
// INI, the document has problems and no sections.
func Parse(name string, text []byte) *Document {
	d := &Document{name: name, knownKeys: make(map[string]map[string]bool)}
	d.lines = indexLines(text)
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, AllowBooleanKeys: false, IgnoreInlineComment: true}, text)
	if err != nil {
		d.problems = append(d.problems, Problem{file: name, line: 1, text: err.Error()})
		f = ini.Empty()
	}
	d.file = f
	for _, p := range d.lines.duplicates {
		d.problems = append(d.problems, Problem{file: name, line: p.line, section: p.section, key: p.key, text: "is given twice"})
	}
	return d
}

// Sections returns the sections of a kind, sorted by name.
func (d *Document) Sections(kind string) []*Section {
	var all []*Section
	for _, s := range d.file.Sections() {
		k, name := splitSection(s.Name())
		if k != kind {
			continue
		}
		d.addKnownSection(s.Name())
		all = append(all, &Section{document: d, section: s, name: name})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// Section returns the section of a kind that has no name. A missing section is
// returned as an empty one.
func (d *Document) Section(kind string) *Section {
	d.addKnownSection(kind)
	s, err := d.file.GetSection(kind)
	if err != nil {
		s, _ = ini.Empty().NewSection(kind)
	}
	return &Section{document: d, section: s}
}

func (d *Document) addKnownSection(section string) {
	if d.knownKeys[section] == nil {
		d.knownKeys[section] = make(map[string]bool)
	}
}

// RejectUnknown adds a problem for each section and key that has not been read.
func (d *Document) RejectUnknown() {
	for _, s := range d.file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		keys, known := d.knownKeys[s.Name()]
		if !known {
			d.addProblem(s.Name(), "", "is an unknown section")
			continue
		}
		d.rejectUnknownKeys(s, keys)
	}
}

func (d *Document) rejectUnknownKeys(s *ini.Section, known map[string]bool) {
	for _, k := range s.Keys() {
		if known[k.Name()] {
			continue
		}
		allowed := make([]string, 0, len(known))
		for name := range known {
			allowed = append(allowed, name)
		}
		sort.Strings(allowed)
		d.addProblem(s.Name(), k.Name(), "is an unknown key"+suggestion(k.Name(), allowed)+"; allowed are "+strings.Join(allowed, ", "))
	}
}

// maxSuggestionDistance is the maximum Levenshtein distance between an unknown key and a
// key that is suggested in its place.
const maxSuggestionDistance = 3

// suggestion returns a hint at the allowed key that is closest to key, or "" if none
// is close enough.
func suggestion(key string, allowed []string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, name := range allowed {
		if x := levenshtein.ComputeDistance(key, name); x < distance {
			best, distance = name, x
		}
	}
	if best == "" {
		return ""
	}
	return " (did you mean " + best + "?)"
}

func (d *Document) addProblem(section, key, text string) {
	line := d.lines.find(section, key)
	d.problems = append(d.problems, Problem{file: d.name, line: line, section: section, key: key, text: text})
}

// Err returns the problems, sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].line < d.problems[j].line })
	return d.problems
}

// Entry is one key of a section with its value. The entry of the section itself has no
// key.
type Entry struct {
	section string
	key     string
	value   string
}

// Section returns the section's full name.
func (e Entry) Section() string { return e.section }

// Key returns the key, or "" for the section itself.
func (e Entry) Key() string { return e.key }

// Value returns the value.
func (e Entry) Value() string { return e.value }

// Entries returns the sections and their keys, sorted by section and key. Keys outside
// a section are left out.
func (d *Document) Entries() []Entry {
	var all []Entry
	for _, s := range d.file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		all = append(all, Entry{section: s.Name()})
		for _, k := range s.Keys() {
			all = append(all, Entry{section: s.Name(), key: k.Name(), value: k.Value()})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].section != all[j].section {
			return all[i].section < all[j].section
		}
		return all[i].key < all[j].key
	})
	return all
}

func splitSection(full string) (kind, name string) {
	kind, name, _ = strings.Cut(full, " ")
	return kind, strings.TrimSpace(name)
}

package inifile

import "strings"

type position struct {
	section string
	key     string
	line    int
}

// lineIndex maps sections and keys to their line numbers, which the INI library
// doesn't provide.
type lineIndex struct {
	lines      map[string]int
	duplicates []position // sections and keys that occurred before
}

func indexLines(text []byte) lineIndex {
	x := lineIndex{lines: make(map[string]int)}
	section := ""
	for i, raw := range strings.Split(string(text), "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			x.add(position{section: section, line: i + 1})
		default:
			key, _, _ := strings.Cut(line, "=")
			x.add(position{section: section, key: strings.TrimSpace(key), line: i + 1})
		}
	}
	return x
}

func (x *lineIndex) add(p position) {
	id := p.section + "\x00" + p.key
	if _, found := x.lines[id]; found {
		x.duplicates = append(x.duplicates, p)
		return
	}
	x.lines[id] = p.line
}

// find returns the line of a key. It falls back to the line of the section, then to 1.
func (x *lineIndex) find(section, key string) int {
	if n, found := x.lines[section+"\x00"+key]; found {
		return n
	}
	if n, found := x.lines[section+"\x00"]; found {
		return n
	}
	return 1
}

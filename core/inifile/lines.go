package inifile

import "strings"

type position struct {
	section string
	key     string
	line    int
}

// lineIndex maps sections and keys to their lines, which the INI library does
// not tell.
type lineIndex struct {
	lines   map[string]int
	repeats []position
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
			x.put(position{section: section, line: i + 1})
		default:
			key, _, _ := strings.Cut(line, "=")
			x.put(position{section: section, key: strings.TrimSpace(key), line: i + 1})
		}
	}
	return x
}

func (x *lineIndex) put(p position) {
	id := p.section + "\x00" + p.key
	if _, found := x.lines[id]; found {
		x.repeats = append(x.repeats, p)
		return
	}
	x.lines[id] = p.line
}

// find returns the line of a key, else of its section, else 1.
func (x *lineIndex) find(section, key string) int {
	if n, found := x.lines[section+"\x00"+key]; found {
		return n
	}
	if n, found := x.lines[section+"\x00"]; found {
		return n
	}
	return 1
}

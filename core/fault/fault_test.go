package fault_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"cicadabeam/core/fault"
)

// The table in docs/OPERATIONS.md must name each code with its status, and no other codes.
func TestErrorCodesAreDocumented(t *testing.T) {
	source, err := os.ReadFile("fault.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(page), "| code | status | what to do |")
	table, _, _ = strings.Cut(table, "\n\n")
	documented := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| ([a-z_, ]+) \| (\d+) \|`).FindAllStringSubmatch(table, -1) {
		for _, code := range strings.Split(row[1], ", ") {
			documented[code] = row[2]
		}
	}
	for _, m := range regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1) {
		want := strconv.Itoa(fault.New(fault.Code(m[1]), "", "").Status())
		if documented[m[1]] != want {
			t.Errorf("%s is documented with status %q, want %s", m[1], documented[m[1]], want)
		}
		delete(documented, m[1])
	}
	for code := range documented {
		t.Errorf("%s is documented, but there is no such code", code)
	}
}

package entryhost

import (
	"os"
	"path/filepath"
	"testing"
)

func TestHostsOfMixedFleet(t *testing.T) {
	other := filepath.Join(t.TempDir(), "other")
	if err := os.WriteFile(other, []byte("#!/bin/sh\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv(otherProgram, other)
	for hosts, want := range map[string][4]bool{
		"first": {true, false, false, false}, "others": {false, true, true, true},
		"even": {true, false, true, false}, "odd": {false, true, false, true}, "all": {true, true, true, true},
	} {
		t.Setenv(otherHosts, hosts)
		for i, isOther := range want {
			program := map[bool]string{true: other, false: "own"}[isOther]
			if got, err := ProgramOf(i, "own"); got != program || err != nil {
				t.Errorf("%s: host %d runs %s (%v), want %s", hosts, i, got, err, program)
			}
		}
	}
}

// A mixed fleet that isn't one must not pass for one.
func TestWrongMixedFleetFails(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "plain")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ program, hosts string }{
		{"", "first"}, {plain, "first"}, {plain + "-missing", "first"}, {t.TempDir(), "odd"}, {"/bin/sh", ""}, {"/bin/sh", "second"},
	} {
		t.Setenv(otherProgram, x.program)
		t.Setenv(otherHosts, x.hosts)
		for i := range 2 {
			if got, err := ProgramOf(i, "own"); err == nil {
				t.Errorf("program %q, hosts %q: host %d runs %s, want an error", x.program, x.hosts, i, got)
			}
		}
	}
	t.Setenv(otherProgram, "")
	t.Setenv(otherHosts, "")
	if got, err := ProgramOf(0, "own"); got != "own" || err != nil {
		t.Errorf("without a second program: got %s (%v), want own", got, err)
	}
}

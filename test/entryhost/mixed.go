package entryhost

import (
	"fmt"
	"os"
)

// Environment variables that make some hosts of a test run another program, for fleets of two
// versions. OTHER_HOSTS is first, others (all but the first), even, odd or all.
const (
	otherProgram = "OTHER_PROGRAM"
	otherHosts   = "OTHER_HOSTS"
)

// ProgramOf returns the path of the program that the i-th host of a test runs: own, unless the
// environment says otherwise.
func ProgramOf(i int, own string) (string, error) {
	other, hosts := os.Getenv(otherProgram), os.Getenv(otherHosts)
	if other == "" && hosts == "" {
		return own, nil
	}
	isOther, known := map[string]bool{"first": i == 0, "others": i != 0, "even": i%2 == 0, "odd": i%2 == 1, "all": true}[hosts]
	if !known {
		return "", fmt.Errorf("%s is %q, not first, others, even, odd or all", otherHosts, hosts)
	}
	f, err := os.Stat(other)
	if err != nil {
		return "", fmt.Errorf("%s: %w", otherProgram, err)
	}
	if !f.Mode().IsRegular() || f.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%s: %s is no program", otherProgram, other)
	}
	if isOther {
		return other, nil
	}
	return own, nil
}

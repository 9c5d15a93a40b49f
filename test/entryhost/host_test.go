package entryhost

import "testing"

// Test processes that run at the same time, with IDs that differ by less than 25,000, must not
// share addresses.
func TestHostAddressesOfProcessesDiffer(t *testing.T) {
	owners := make(map[string]int)
	for pid := 1000; pid < 2000; pid++ {
		for n := 1; n <= 200; n += 50 {
			a := hostAddress(pid, n)
			if owner, taken := owners[a]; taken {
				t.Fatalf("processes %d and %d share %s", owner, pid, a)
			}
			owners[a] = pid
		}
	}
}

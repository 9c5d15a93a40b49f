package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadabeam/test/standin/store"
)

// Guards against hosts that stop to follow the list because what changed in it while they had lost
// the store exceeds what they read at once.
func TestLargeEntryChangesOftenDuringStoreOutage(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	first := s.addNamedServer("s1")
	second := s.addNamedServer("s2")
	for _, n := range s.nodes {
		s.awaitStatus(n, "/r1/", "", 200, applyLimit)
	}
	s.store.SetMode(store.ResetConnections)
	time.Sleep(500 * time.Millisecond)
	for i := range 40 {
		s.store.Put("servers", "odd", fmt.Appendf(nil, `{"Seq":%d,"Text":"%s"}`, i, strings.Repeat("x", largeText)))
	}
	s.store.SetMode(store.Healthy)
	s.checkSound(first, second)
}

package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadabeam/core/records"
)

// largeConfiguration returns a configuration with many routes, as encoded in the store.
func largeConfiguration(routes int) []byte {
	all := make([]string, routes)
	for i := range all {
		all[i] = fmt.Sprintf(`{"Name":"r-%08x","Host":"ficu%d.example","Prefix":"/%06x/","Type":"safe","TimeoutMs":2000,"GoalMs":250,"Priority":2,"Service":"orders","MaxAttempts":2,"Public":false}`, uint32(i)*2654435761, i%97, i*40503%(1<<24))
	}
	return []byte(`{"Version":7,"Routes":[` + strings.Join(all, ",") + `],"Services":[{"Name":"orders","MaxConns":650}]}`)
}

// Guards against a configuration with many routes that all hosts of a data centre ask one host for: over its
// link none had it before its request timed out, and all asked again, while requests waited for the link.
func TestLargeConfigurationReachesHostsOverSlowLink(t *testing.T) {
	const hosts, routes = 15, 4000
	first := testNode(t, "first")
	value := largeConfiguration(routes)
	first.installConfiguration(value, uptime(), true, "store")
	address := serveOverLink(t, first, 10e6/8)
	began := time.Now()
	var done sync.WaitGroup
	for i := range hosts {
		n := testNode(t, fmt.Sprint("host-", i))
		n.peers.set([]records.EntryHost{{Name: "first", Address: address, DataCentre: "a", Region: "north"}}, began)
		done.Go(func() {
			for time.Since(began) < 10*time.Second && !n.configurationKnown() {
				if err := n.fetchConfiguration(n.peers.all["first"]); err != nil {
					t.Errorf("%s, after %v: %v", n.settings.name, time.Since(began), err)
				}
			}
			if !n.configurationKnown() {
				t.Errorf("%s has no configuration after %v", n.settings.name, time.Since(began))
			}
		})
	}
	done.Wait()
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("%d hosts had the configuration of %d bytes after %v, want 4s at most", hosts, len(value), took)
	}
}

// Guards against a compressed configuration that reaches a host of an earlier version, which can't read it.
func TestConfigurationIsNotCompressedForEarlierVersions(t *testing.T) {
	n := testNode(t, "first")
	value := largeConfiguration(1000)
	n.installConfiguration(value, uptime(), true, "store")
	if got := n.Configuration(0); len(got.Value) != len(value) || len(got.Packed) != 0 {
		t.Errorf("got %d plain and %d compressed bytes, want %d and 0", len(got.Value), len(got.Packed), len(value))
	}
}

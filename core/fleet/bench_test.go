package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// BenchmarkReserve selects one of 112 engines as a host of the deployment of 127 hosts does, which knows the work
// of 20 hosts of its data centre and of five other data centres.
func BenchmarkReserve(b *testing.B) {
	f := fleet.New(fleet.Topology{DataCentre: "a", Regions: zoneRegion})
	for i := range engines {
		f.Upsert(fleet.Server{ID: fmt.Sprint("engine-", i), Service: "llm", Address: fmt.Sprint(i), DataCentre: zones[i%len(zones)], Slots: engineSlots})
	}
	run := func(b *testing.B) {
		for i := range 20 {
			f.RecordPeerWork(fmt.Sprint("host-", i), map[string]fleet.Work{fmt.Sprint("engine-", i): {Running: 1, Memory: 9300}, fmt.Sprint("engine-", 3*i): {Running: 1, Prompts: 8000, Memory: 9300}}, start.Add(-time.Duration(i)*20*time.Millisecond))
		}
		for d := range 5 {
			work := make(map[string]fleet.Work)
			for i := range 40 {
				work[fmt.Sprint("engine-", (17*d+3*i)%engines)] = fleet.Work{Running: 1 + i%2, Prompts: 8000 * (i % 2), Memory: 9300}
			}
			f.RecordPeerWork(fmt.Sprint("data centre ", d), work, start.Add(-time.Duration(d+1)*150*time.Millisecond))
		}
		q := promptQuery(start)
		prompts := make([]string, 1000)
		for i := range prompts {
			prompts[i] = fmt.Sprint("5c1e07a2-", i)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			q.Prompt = prompts[i%len(prompts)]
			f.Reserve(q).Release(q, false)
		}
	}
	b.Run("usual", run)
	f.SetEvenLoad(true)
	b.Run("even", run)
}

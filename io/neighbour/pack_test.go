package neighbour_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/neighbour"
)

func servers(n int) []neighbour.ServerChange {
	all := make([]neighbour.ServerChange, n)
	for i := range all {
		all[i].Server = fleet.Server{
			ID: fmt.Sprintf("i-%010x", uint32(i)*2654435761), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8020", i/250, i%250), DataCentre: "a", Slots: 8, StartedMS: int64(1e12 + i),
		}
	}
	return all
}

// Uncompressed, the list of 3,000 servers for the 50 other hosts of a data centre fills a link of
// 20 Mbit/s for four seconds.
func TestWholeListIsSmall(t *testing.T) {
	all := servers(3000)
	all[7].Gone, all[7].In = true, time.Second
	b, err := neighbour.Pack(all)
	if err != nil || len(b) > 60000 {
		t.Errorf("3,000 servers take %d bytes (error %v), want 60,000 at most", len(b), err)
	}
	got, err := neighbour.Unpack(b)
	if err != nil || !reflect.DeepEqual(got, all) {
		t.Errorf("unpacked servers differ (error %v)", err)
	}
	if _, err := neighbour.Unpack(b[:len(b)/2]); err == nil {
		t.Error("half a list was unpacked without an error")
	}
}

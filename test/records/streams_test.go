package records

import (
	"testing"

	corerecords "cicadabeam/core/records"
	"cicadabeam/core/streamversion"
)

// Streams come back as they were written; a row of another writer has none.
func TestStreamRows(t *testing.T) {
	s, ctx := start(t)
	hosts := corerecords.NewHostStore(newNode(s).table)
	written := corerecords.StreamRow{Key: "node-1/1", Streams: []streamversion.VersionStreams{{Version: "v1", IDs: []streamversion.ID{1, 1 << 63}}, {Version: "v2", IDs: []streamversion.ID{7}}}}
	must(t, hosts.PutStreams(ctx, written, nil))
	for key, value := range map[string]string{"other/1": "[[[", "other/2": `{"v1":"AAAA"}`, "other/3": `{"":"AAAAAAAAAAE="}`, "other/4": `{"v1":7}`, "other/5": "null"} {
		s.Put("stream-versions", key, []byte(value))
	}
	rows, err := hosts.ListStreams(ctx)
	must(t, err)
	got := make(map[streamversion.ID]string)
	for _, r := range rows {
		for _, x := range r.Streams {
			for _, id := range x.IDs {
				got[id] = x.Version
			}
		}
	}
	if len(rows) != 6 || len(got) != 3 || got[1] != "v1" || got[1<<63] != "v1" || got[7] != "v2" {
		t.Errorf("got %d rows with streams %v", len(rows), got)
	}
	must(t, hosts.PutStreams(ctx, corerecords.StreamRow{Key: "node-1/2"}, []string{"node-1/1", "other/1", "none"}))
	if keys := s.Keys("stream-versions"); len(keys) != 4 || keys[0] != "other/2" {
		t.Errorf("got keys %v", keys)
	}
}

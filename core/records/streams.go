package records

import (
	"context"
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/streamversion"
)

// streamsTable is the table of the streams that began lately at services with several software
// versions. A row holds streams of one host's region, as the bytes of their IDs by version.
const streamsTable = "stream-versions"

// StreamRow is a row of streams.
type StreamRow struct {
	Key     string
	Streams []streamversion.VersionStreams
}

// PutStreams inserts or overwrites a row, unless it has no streams, and deletes others.
func (h *HostStore) PutStreams(ctx context.Context, x StreamRow, removed []string) error {
	var t Transaction
	if len(x.Streams) > 0 {
		value, err := json.Marshal(encodeStreams(x.Streams))
		if err != nil {
			return errors.Wrap(err, "records: encode streams")
		}
		t.Writes = append(t.Writes, Write{Table: streamsTable, Key: x.Key, Value: value})
	}
	for _, key := range removed {
		t.Writes = append(t.Writes, Write{Table: streamsTable, Key: key, Remove: true})
	}
	_, err := h.table.Commit(ctx, t)
	return err
}

// ListStreams returns all rows of streams. One that cannot be decoded has none.
func (h *HostStore) ListStreams(ctx context.Context) ([]StreamRow, error) {
	rows, err := h.table.List(ctx, streamsTable, "")
	if err != nil {
		return nil, err
	}
	all := make([]StreamRow, 0, len(rows))
	for _, r := range rows {
		all = append(all, StreamRow{Key: r.Key, Streams: decodeStreams(r.Value)})
	}
	return all, nil
}

func encodeStreams(all []streamversion.VersionStreams) map[string][]byte {
	encoded := make(map[string][]byte)
	for _, s := range all {
		for _, id := range s.IDs {
			encoded[s.Version] = binary.BigEndian.AppendUint64(encoded[s.Version], uint64(id))
		}
	}
	return encoded
}

func decodeStreams(value []byte) []streamversion.VersionStreams {
	var encoded map[string][]byte
	if json.Unmarshal(value, &encoded) != nil {
		return nil
	}
	var all []streamversion.VersionStreams
	for version, ids := range encoded {
		if version == "" || len(ids)%8 != 0 {
			continue
		}
		s := streamversion.VersionStreams{Version: version}
		for ; len(ids) > 0; ids = ids[8:] {
			s.IDs = append(s.IDs, streamversion.ID(binary.BigEndian.Uint64(ids)))
		}
		all = append(all, s)
	}
	return all
}

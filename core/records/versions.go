package records

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/streamversion"
)

// versionPrefix begins the keys of the rows that hold software versions of services. They are in
// the table of entry hosts, which each host reads as it starts.
const versionPrefix = "software-version/"

func versionKey(v streamversion.ServiceVersion) string {
	return versionPrefix + v.Service + "/" + v.Version
}

// PutVersions inserts the rows of software versions and deletes those of others.
func (h *HostStore) PutVersions(ctx context.Context, added, removed []streamversion.ServiceVersion) error {
	var t Transaction
	for _, v := range added {
		value, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(err, "records: encode software version")
		}
		t.Writes = append(t.Writes, Write{Table: hostsTable, Key: versionKey(v), Value: value})
	}
	for _, v := range removed {
		t.Writes = append(t.Writes, Write{Table: hostsTable, Key: versionKey(v), Remove: true})
	}
	_, err := h.table.Commit(ctx, t)
	return err
}

// decodeVersion decodes a row that holds a software version of a service.
func decodeVersion(r Row) (streamversion.ServiceVersion, bool) {
	var v streamversion.ServiceVersion
	return v, strings.HasPrefix(r.Key, versionPrefix) && json.Unmarshal(r.Value, &v) == nil && versionKey(v) == r.Key
}

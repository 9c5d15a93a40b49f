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

// PackBytes compresses b. A configuration with many routes takes a tenth of its size or less.
func PackBytes(b []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "neighbour: pack")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "neighbour: pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "neighbour: pack")
	}
	return packed.Bytes(), nil
}

// UnpackBytes returns what PackBytes compressed. It fails if that exceeds maxUnpacked bytes.
func UnpackBytes(packed []byte) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err == nil && len(b) > maxUnpacked {
		err = errors.Newf("more than %d bytes", maxUnpacked)
	}
	return b, errors.Wrap(err, "neighbour: unpack")
}

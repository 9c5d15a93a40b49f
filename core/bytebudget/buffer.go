package bytebudget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstSize is the first capacity of a buffer of unknown size, in bytes.
const firstSize = 512

// ReadAll reads until io.EOF, limit bytes at most, and takes the size of the buffer from a holder
// before it grows. size is the number of bytes expected, negative if it isn't known. After an error
// the bytes read so far are returned with it; the holder still holds them.
func ReadAll(r io.Reader, limit, size int64, h *Holder) ([]byte, error) {
	most := limit
	if size >= 0 {
		most = min(limit, size+1) // one more, so that io.EOF is read without growing
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			if int64(len(b)) >= limit {
				return b, nil
			}
			if int64(len(b)) >= most {
				most = limit
			}
			grown, err := grow(b, int(min(most, max(firstSize, 2*int64(cap(b))))), h)
			if err != nil {
				return b, err
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return b, nil
		case err != nil:
			return b, err
		}
	}
}

// grow returns a buffer with a greater capacity, for which it takes bytes from the holder.
func grow(b []byte, size int, h *Holder) ([]byte, error) {
	if err := h.Replace(cap(b), size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	h.Give(cap(b))
	return grown, nil
}

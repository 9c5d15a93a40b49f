package http1

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
)

// Limits of what a server may send before the head of the response to a request is
// complete.
const (
	// maxHeadBytes limits the status line and header fields, together with those of interim
	// responses and of responses to other requests.
	maxHeadBytes = 64 << 10 // bytes
	// maxSkippedBytes limits the bodies of responses to other requests.
	maxSkippedBytes = 256 << 10 // bytes
	// maxHeadTime limits the time from the first byte of a response to the end of its head
	// or, if it is skipped, of its body. A sound server may pause for more than a second.
	maxHeadTime = 3 * time.Second
	// headMemory is the memory, in bytes, that a byte of a head needs while net/http parses it.
	headMemory = 4
)

var (
	errHeadTooLarge    = errors.Newf("the heads exceed %d bytes", maxHeadBytes)
	errSkippedTooLarge = errors.Newf("the bodies of responses to other requests exceed %d bytes", maxSkippedBytes)
	errHeadTooSlow     = errors.Newf("the response is incomplete %v after its first byte", maxHeadTime)
)

// byteBudget is the number of bytes that may still be read, and the error if more are.
type byteBudget struct {
	left int64
	err  error
	held *bytebudget.Holder // of what is read, nil if it is not kept
}

// limitedReader reads from a connection within a budget, without one if it is nil.
type limitedReader struct {
	source io.Reader
	budget *byteBudget
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	b := l.budget
	if b == nil {
		return l.source.Read(p)
	}
	if b.left <= 0 {
		return 0, b.err
	}
	n, err := l.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if spent := b.held.Take(headMemory * n); spent != nil {
		return 0, spent
	}
	return n, err
}

package answer

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// EventID identifies a prefix of an answer by its number of pieces and a rolling hash
// of their texts. Equal event IDs mean equal prefixes, up to hash collisions.
type EventID struct {
	position int
	sum      uint64
}

// Position returns the number of pieces in the prefix.
func (e EventID) Position() int { return e.position }

// Append returns the event ID of the prefix extended by one piece.
func (e EventID) Append(text string) EventID {
	var d xxhash.Digest
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], e.sum)
	d.Reset()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(text)
	return EventID{position: e.position + 1, sum: d.Sum64()}
}

// String returns the value of the SSE id field, "<position>-<hash>".
func (e EventID) String() string {
	return strconv.Itoa(e.position) + "-" + strconv.FormatUint(e.sum, 16)
}

// ParseEventID parses an SSE event ID and reports whether it is valid.
func ParseEventID(id string) (EventID, bool) {
	p, h, found := strings.Cut(id, "-")
	if !found {
		return EventID{}, false
	}
	position, err := strconv.Atoi(p)
	if err != nil || position < 0 {
		return EventID{}, false
	}
	sum, err := strconv.ParseUint(h, 16, 64)
	if err != nil {
		return EventID{}, false
	}
	return EventID{position: position, sum: sum}, true
}

// transcript is the text of an answer so far with the boundaries of the pieces
// that the engine sent. The overhead is four bytes per piece.
type transcript struct {
	text []byte
	ends []uint32
}

func (t *transcript) append(text string) {
	t.text = append(t.text, text...)
	t.ends = append(t.ends, uint32(len(t.text)))
}

func (t *transcript) len() int { return len(t.ends) }

func (t *transcript) start(i int) uint32 {
	if i == 0 {
		return 0
	}
	return t.ends[i-1]
}

// slice returns the pieces in the half-open range [from, to).
func (t *transcript) slice(from, to int) []string {
	if from >= to {
		return nil
	}
	all := string(t.text[t.start(from):t.ends[to-1]])
	base := t.start(from)
	pieces := make([]string, 0, to-from)
	for i := from; i < to; i++ {
		pieces = append(pieces, all[t.start(i)-base:t.ends[i]-base])
	}
	return pieces
}

// eventID returns the event ID of the prefix of position pieces.
func (t *transcript) eventID(position int) EventID {
	e := EventID{}
	for _, p := range t.slice(0, position) {
		e = e.Append(p)
	}
	return e
}

// truncate keeps only the first n pieces.
func (t *transcript) truncate(n int) {
	if n >= len(t.ends) {
		return
	}
	t.text = t.text[:t.start(n)]
	t.ends = t.ends[:n]
}

package fleet

import (
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Limits on what an entry may say of a server. Names are parts of keys, headers and log lines;
// no host opens more connections to one address than there are ports.
const (
	maxIDLength      = 200
	maxNameLength    = 100
	maxVersionLength = 64
	maxAddressLength = 64
	maxSlots         = 65535
)

// Validate reports why an entry names no server to use, nil if it does.
func (s Server) Validate() error {
	for _, x := range []struct {
		field, text string
		most        int
	}{{"ID", s.ID, maxIDLength}, {"service", s.Service, maxNameLength}, {"data centre", s.DataCentre, maxNameLength}, {"version", s.Version, maxVersionLength}, {"address", s.Address, maxAddressLength}} {
		if len(x.text) > x.most {
			return errors.Newf("the %s has %d bytes, at most %d are allowed", x.field, len(x.text), x.most)
		}
		if !printable(x.text) {
			return errors.Newf("the %s %q has characters that can't be printed", x.field, x.text)
		}
	}
	if s.ID == "" || s.Service == "" {
		return errors.New("the ID or the service is missing")
	}
	if a, err := netip.ParseAddrPort(s.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.Newf("the address %q is not that of a server", s.Address)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return errors.Newf("%d slots, 1 to %d are allowed", s.Slots, maxSlots)
	}
	if s.StartedMS < 0 {
		return errors.Newf("the start time %d is negative", s.StartedMS)
	}
	return nil
}

// printable reports whether a text can be a header value or a line of a log.
func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
